#include "testcertificate.h"

#include <cstdio>
#include <memory>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace Pimentohollow
{

namespace
{

constexpr long ValidSeconds = 3600;

struct CloseFile {
    void operator()(std::FILE *file) const
    {
        std::fclose(file); // NOLINT(cppcoreguidelines-owning-memory): owned by the unique_ptr
    }
};
using File = std::unique_ptr<std::FILE, CloseFile>;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

Certificate makeCertificate(EVP_PKEY *key)
{
    Certificate certificate(X509_new(), X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -ValidSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValidSeconds);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME *name = X509_get_subject_name(certificate.get());
    const auto *text = reinterpret_cast<const unsigned char *>("127.0.0.1");
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key, EVP_sha256());
    return certificate;
}

} // namespace

TestCertificate::TestCertificate()
{
    const Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const Certificate certificate = makeCertificate(key.get());
    const File certificateFile(std::fopen(m_certificate.path().c_str(), "w"));
    PEM_write_X509(certificateFile.get(), certificate.get());
    const File keyFile(std::fopen(m_key.path().c_str(), "w"));
    PEM_write_PrivateKey(keyFile.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

std::string TestCertificate::certificateFile() const
{
    return m_certificate.path();
}

Poco::Net::Context::Ptr TestCertificate::serverContext() const
{
    using Poco::Net::Context;
    return new Context(Context::TLS_SERVER_USE, // NOLINT(cppcoreguidelines-owning-memory): counted by its Ptr
                       m_key.path(),
                       m_certificate.path(),
                       "",
                       Context::VERIFY_NONE);
}

} // namespace Pimentohollow
