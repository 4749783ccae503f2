#pragma once

#include <string>

namespace Pimentohollow::Testing
{

/** A self-signed certificate for 127.0.0.1 and its key, as temporary files. */
class TestCertificate
{
public:
    TestCertificate();
    ~TestCertificate();
    TestCertificate(const TestCertificate &) = delete;
    TestCertificate &operator=(const TestCertificate &) = delete;

    std::string certificateFile() const;
    std::string keyFile() const;

private:
    std::string m_folder;
};

} // namespace Pimentohollow::Testing
