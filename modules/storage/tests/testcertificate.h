#pragma once

#include <Poco/Net/Context.h>
#include <Poco/TemporaryFile.h>
#include <string>

namespace Pimentohollow
{

/** A self-signed certificate for 127.0.0.1 with its key, made anew and kept in temporary files. */
class TestCertificate
{
public:
    TestCertificate();

    std::string certificateFile() const;

    Poco::Net::Context::Ptr serverContext() const;

private:
    Poco::TemporaryFile m_certificate;
    Poco::TemporaryFile m_key;
};

} // namespace Pimentohollow
