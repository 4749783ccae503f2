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

/** Maximum size of a TLS record, so that no decrypted bytes remain in the TLS layer, where poll() doesn't report them. */
constexpr std::size_t ReadBufferBytes = std::size_t{ 16 } * 1024;

/** Bytes read between two looks at the clock. Bytes that arrived before the deadline can be read after it, up to this many. */
constexpr std::size_t BytesPerDeadlineCheck = std::size_t{ 256 } * 1024;

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
        if (m_previousIsCr != (it == '\n')) {
            return State::Malformed;
        }
        if (it == '\n') {
            const bool isEmptyLine = m_lineBytes == 0;
            m_previousIsCr = false;
            m_lineBytes = 0;
            return isEmptyLine ? State::Complete : State::InHead;
        }
        m_previousIsCr = it == '\r';
        m_lineBytes += m_previousIsCr ? 0 : 1;
        return State::InHead;
    }

private:
    bool m_previousIsCr = false;
    std::size_t m_lineBytes = 0;
};

} // namespace

bool waitUntilReadable(int fd, TimePoint deadline)
{
    while (true) {
        const auto remainingMilliseconds =
            std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        constexpr std::int64_t MaximumPollMilliseconds = 1'000'000;
        pollfd descriptor{ fd, POLLIN, 0 };
        const int readyCount =
            ::poll(&descriptor, 1, static_cast<int>(std::clamp<std::int64_t>(remainingMilliseconds, 0, MaximumPollMilliseconds)));
        if (readyCount > 0) {
            return true;
        }
        if (readyCount < 0 && errno != EINTR) {
            return true; // the following read reports the failure
        }
        if (remainingMilliseconds <= 0) {
            return false;
        }
    }
}

bool isReadable(int fd)
{
    pollfd descriptor{ fd, POLLIN, 0 };
    return ::poll(&descriptor, 1, 0) != 0;
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
        if (!waitUntilReadable(m_socket.impl()->sockfd(), deadline)) {
            return tl::unexpected(ReadError::Timeout);
        }
        try {
            const int count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return tl::unexpected(count == 0 ? ReadError::Closed : ReadError::Failed);
            }
            return static_cast<std::size_t>(count);
        } catch (const Poco::TimeoutException &) {
            return tl::unexpected(ReadError::Timeout);
        } catch (const Poco::Exception &) {
            return tl::unexpected(ReadError::Failed);
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

void ByteStream::setBufferBudget(BufferBudget &budget, std::function<void()> onRevoked)
{
    m_reservation = std::make_unique<BufferBudget::Reservation>(budget, std::move(onRevoked));
}

void ByteStream::startMessage()
{
    if (m_reservation) {
        m_reservation->set(m_buffer.size() - m_position);
    }
}

ReadResult<void> ByteStream::waitForData(TimePoint deadline)
{
    if (hasBufferedData()) {
        return {};
    }
    return fill(deadline);
}

ReadResult<std::string> ByteStream::readHead(std::size_t maximumBytes, TimePoint deadline)
{
    LineEndScanner scanner;
    std::size_t scanned = 0;
    while (true) {
        for (; m_position + scanned < m_buffer.size(); ++scanned) {
            if (scanned >= maximumBytes) {
                return tl::unexpected(ReadError::TooLarge);
            }
            const auto state = scanner.next(m_buffer[m_position + scanned]);
            if (state == LineEndScanner::State::Malformed) {
                return tl::unexpected(ReadError::Malformed);
            }
            if (state == LineEndScanner::State::Complete) {
                return takeBuffered(scanned + 1);
            }
        }
        if (const auto filled = fillWithinMessage(deadline); !filled) {
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
        const bool previousIsCr = line.size() >= 2 && line[line.size() - 2] == '\r';
        if (previousIsCr != (line.back() == '\n')) {
            return tl::unexpected(ReadError::Malformed);
        }
        if (previousIsCr) {
            line.resize(line.size() - 2);
            return line;
        }
        if (line.size() >= maximumBytes) {
            return tl::unexpected(ReadError::TooLarge);
        }
    }
}

ReadResult<void> ByteStream::readExactly(std::string &out, std::size_t count, TimePoint deadline)
{
    while (count > 0) {
        if (!hasBufferedData()) {
            if (const auto filled = fillWithinMessage(deadline); !filled) {
                return filled;
            }
        }
        const std::size_t copied = std::min(count, m_buffer.size() - m_position);
        out.append(m_buffer, m_position, copied);
        m_position += copied;
        count -= copied;
    }
    return {};
}

void ByteStream::appendBuffered(std::string &out)
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
    std::array<char, ReadBufferBytes> bytes; // uninitialised: the read below fills it
    const auto count = m_source->read(bytes, deadline);
    if (m_reservation && (m_reservation->isRevoked() || (count && !m_reservation->add(*count)))) {
        // The code that reads the message discards its part of it.
        std::string().swap(m_buffer);
        m_position = 0;
        (void)m_reservation->set(0);
        return tl::unexpected(ReadError::OverBudget);
    }
    if (!count) {
        return tl::unexpected(count.error());
    }
    m_buffer.append(bytes.data(), *count);
    m_bytesSinceDeadlineCheck += *count;
    if (m_bytesSinceDeadlineCheck >= BytesPerDeadlineCheck) {
        m_bytesSinceDeadlineCheck = 0;
        // The source never waits, and so never times out, while bytes arrive faster than they are read.
        if (m_source->now() >= deadline) {
            return tl::unexpected(ReadError::Timeout);
        }
    }
    return {};
}

ReadResult<void> ByteStream::fillWithinMessage(TimePoint deadline)
{
    const auto filled = fill(deadline);
    if (!filled && filled.error() == ReadError::Closed) {
        return tl::unexpected(ReadError::Truncated);
    }
    return filled;
}

std::string ByteStream::takeBuffered(std::size_t count)
{
    std::string result = m_buffer.substr(m_position, count);
    m_position += count;
    if (!hasBufferedData()) {
        // Frees the memory while a keep-alive connection is idle.
        std::string().swap(m_buffer);
        m_position = 0;
    }
    return result;
}

} // namespace Pimentohollow
