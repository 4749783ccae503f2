#include "http/reading/bytestream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <poll.h>

namespace Pimentohollow
{

namespace
{

/** One TLS record, so that after a read no decrypted bytes stay behind in the TLS layer where poll() can't see them. */
constexpr std::size_t ReadBytes = std::size_t{ 16 } * 1024;

/** Checks line ends incrementally and finds the empty line that ends a head. */
class LineEndScanner
{
public:
    enum class State {
        InHead,
        Complete,
        Malformed,
    };

    State next(char it)
    {
        if (m_afterCr != (it == '\n')) {
            return State::Malformed;
        }
        if (it == '\n') {
            const bool empty = m_lineBytes == 0;
            m_afterCr = false;
            m_lineBytes = 0;
            return empty ? State::Complete : State::InHead;
        }
        m_afterCr = it == '\r';
        m_lineBytes += m_afterCr ? 0 : 1;
        return State::InHead;
    }

private:
    bool m_afterCr = false;
    std::size_t m_lineBytes = 0;
};

} // namespace

bool waitReadable(int fd, TimePoint deadline)
{
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        constexpr std::int64_t LongestPollMillis = 1'000'000;
        pollfd entry{ fd, POLLIN, 0 };
        const int rc = ::poll(&entry, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, LongestPollMillis)));
        if (rc > 0) {
            return true;
        }
        if (rc < 0 && errno != EINTR) {
            return true; // the following read reports the failure
        }
        if (left <= 0) {
            return false;
        }
    }
}

bool readableNow(int fd)
{
    pollfd entry{ fd, POLLIN, 0 };
    return ::poll(&entry, 1, 0) != 0;
}

namespace
{

/** Blocks the thread; deadlines are times of the steady clock. */
class SocketSource : public ByteSource
{
public:
    explicit SocketSource(const Poco::Net::StreamSocket &socket)
        : m_socket(socket)
    {
    }

    ReadResult<std::size_t> read(std::span<char> buffer, TimePoint deadline) override
    {
        if (!waitReadable(m_socket.impl()->sockfd(), deadline)) {
            return tl::unexpected(ReadFault::Timeout);
        }
        try {
            const int count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return tl::unexpected(ReadFault::Truncated);
            }
            return static_cast<std::size_t>(count);
        } catch (const Poco::TimeoutException &) {
            return tl::unexpected(ReadFault::Timeout);
        } catch (const Poco::Exception &) {
            return tl::unexpected(ReadFault::Truncated);
        }
    }

    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }

private:
    Poco::Net::StreamSocket m_socket;
};

} // namespace

ByteStream::ByteStream(const Poco::Net::StreamSocket &socket)
    : m_source(std::make_unique<SocketSource>(socket))
{
}

ByteStream::ByteStream(std::unique_ptr<ByteSource> source)
    : m_source(std::move(source))
{
}

void ByteStream::countIn(HeldBytes &account, std::function<void()> giveUp)
{
    m_held = std::make_unique<HeldBytes::Lease>(account, std::move(giveUp));
}

void ByteStream::startMessage()
{
    if (m_held) {
        m_held->set(m_buffer.size() - m_position);
    }
}

ReadResult<void> ByteStream::waitForData(TimePoint deadline)
{
    if (hasBufferedData()) {
        return {};
    }
    const auto filled = fill(deadline);
    if (!filled && filled.error() == ReadFault::Truncated) {
        return tl::unexpected(ReadFault::Closed);
    }
    return filled;
}

ReadResult<std::string> ByteStream::readHead(std::size_t maximumBytes, TimePoint deadline)
{
    LineEndScanner scanner;
    std::size_t scanned = 0;
    while (true) {
        for (; m_position + scanned < m_buffer.size(); ++scanned) {
            if (scanned >= maximumBytes) {
                return tl::unexpected(ReadFault::TooLarge);
            }
            const auto state = scanner.next(m_buffer[m_position + scanned]);
            if (state == LineEndScanner::State::Malformed) {
                return tl::unexpected(ReadFault::Malformed);
            }
            if (state == LineEndScanner::State::Complete) {
                return takeBuffered(scanned + 1);
            }
        }
        if (const auto filled = fill(deadline); !filled) {
            return tl::unexpected(filled.error());
        }
    }
}

ReadResult<std::string> ByteStream::readLine(std::size_t maximumBytes, TimePoint deadline)
{
    std::string line;
    while (true) {
        if (const auto read = readExactly(line, 1, deadline); !read) {
            return tl::unexpected(read.error());
        }
        const bool afterCr = line.size() >= 2 && line[line.size() - 2] == '\r';
        if (afterCr != (line.back() == '\n')) {
            return tl::unexpected(ReadFault::Malformed);
        }
        if (afterCr) {
            line.resize(line.size() - 2);
            return line;
        }
        if (line.size() >= maximumBytes) {
            return tl::unexpected(ReadFault::TooLarge);
        }
    }
}

ReadResult<void> ByteStream::readExactly(std::string &out, std::size_t count, TimePoint deadline)
{
    while (count > 0) {
        if (!hasBufferedData()) {
            if (const auto filled = fill(deadline); !filled) {
                return filled;
            }
        }
        const std::size_t part = std::min(count, m_buffer.size() - m_position);
        out.append(m_buffer, m_position, part);
        m_position += part;
        count -= part;
    }
    return {};
}

void ByteStream::takeAvailable(std::string &out)
{
    out += takeBuffered(m_buffer.size() - m_position);
}

bool ByteStream::hasBufferedData() const
{
    return m_position < m_buffer.size();
}

ReadResult<void> ByteStream::fill(TimePoint deadline)
{
    if (!hasBufferedData()) {
        m_buffer.clear();
        m_position = 0;
    }
    std::array<char, ReadBytes> bytes; // not initialised: it is written by the read below
    const auto count = m_source->read(bytes, deadline);
    if (m_held && (m_held->isGivenUp() || (count && !m_held->add(*count)))) {
        // The caller of the read drops what it has of the message.
        std::string().swap(m_buffer);
        m_position = 0;
        (void)m_held->set(0);
        return tl::unexpected(ReadFault::NoRoom);
    }
    if (!count) {
        return tl::unexpected(count.error());
    }
    m_buffer.append(bytes.data(), *count);
    return {};
}

std::string ByteStream::takeBuffered(std::size_t count)
{
    std::string result = m_buffer.substr(m_position, count);
    m_position += count;
    if (!hasBufferedData()) {
        // Gives the memory back while a keep-alive connection is idle.
        std::string().swap(m_buffer);
        m_position = 0;
    }
    return result;
}

} // namespace Pimentohollow
