#include "support/testcertificate.h"

#include <cstdio>
#include <filesystem>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <Poco/TemporaryFile.h>

namespace Pimentohollow::Testing
{

namespace
{

constexpr long ValiditySeconds = 3600;
constexpr long Version3 = 2;

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using FilePtr = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

CertificatePtr selfSigned(EVP_PKEY *key)
{
    CertificatePtr certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), Version3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValiditySeconds);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME *name = X509_get_subject_name(certificate.get());
    const auto *text = reinterpret_cast<const unsigned char *>("127.0.0.1");
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
    X509_add_ext(certificate.get(), extension, -1);
    X509_EXTENSION_free(extension);
    X509_sign(certificate.get(), key, EVP_sha256());
    return certificate;
}

} // namespace

TestCertificate::TestCertificate()
    : m_folder(Poco::TemporaryFile::tempName())
{
    std::filesystem::create_directory(m_folder);
    const KeyPtr key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const CertificatePtr certificate = selfSigned(key.get());
    const FilePtr keyStream(std::fopen(keyFile().c_str(), "w"), &std::fclose);
    PEM_write_PrivateKey(keyStream.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    const FilePtr certificateStream(std::fopen(certificateFile().c_str(), "w"), &std::fclose);
    PEM_write_X509(certificateStream.get(), certificate.get());
}

TestCertificate::~TestCertificate()
{
    std::filesystem::remove_all(m_folder);
}

std::string TestCertificate::certificateFile() const
{
    return m_folder + "/certificate.pem";
}

std::string TestCertificate::keyFile() const
{
    return m_folder + "/key.pem";
}

} // namespace Pimentohollow::Testing
