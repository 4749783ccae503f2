#pragma once

#include "core/clock.h"
#include "core/enumtable.h"
#include "http/reading/bufferbudget.h"

#include <cstddef>
#include <memory>
#include <Poco/Net/StreamSocket.h>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Pimentohollow
{

/** Why bytes could not be read. */
enum class ReadError {
    Closed, ///< the peer ended the connection in order, before the first byte of a message
    Truncated, ///< the peer ended the connection in order within a message
    Failed, ///< the connection failed, or this side closed it
    Timeout,
    TooLarge,
    Malformed,
    OverBudget, ///< the BufferBudget of the process is exhausted
};

inline constexpr auto ReadErrorNames = makeEnumTable<ReadError>({
    { ReadError::Closed, "connection closed" },
    { ReadError::Truncated, "message truncated" },
    { ReadError::Failed, "connection failed" },
    { ReadError::Timeout, "time limit exceeded" },
    { ReadError::TooLarge, "message too large" },
    { ReadError::Malformed, "message malformed" },
    { ReadError::OverBudget, "no room for the message" },
});

template <typename T>
using ReadResult = tl::expected<T, ReadError>;

/** Waits until @p fd is readable; false at the deadline. */
bool waitUntilReadable(int fd, TimePoint deadline);

/** True if @p fd has bytes to read, was closed by the peer or failed; never blocks. */
bool isReadable(int fd);

/** Input of a ByteStream. */
class ByteSource
{
public:
    virtual ~ByteSource() = default;

    /**
     * Reads at least one byte. Errors: Closed (the peer ended its direction in order and nothing has failed in either one), Failed,
     * Timeout.
     */
    virtual ReadResult<std::size_t> read(std::span<char> buffer, TimePoint deadline) = 0;
    /** The current time of the clock that deadlines refer to. */
    virtual TimePoint now() const = 0;
};

/** Buffered reader of HTTP messages. Every wait ends at the given deadline, also if bytes keep arriving. */
class ByteStream
{
public:
    /** Reads from a plain or TLS socket and blocks the thread. */
    explicit ByteStream(const Poco::Net::StreamSocket &socket);
    explicit ByteStream(std::unique_ptr<ByteSource> source);

    TimePoint now() const
    {
        return m_source->now();
    }

    /**
     * Charges received bytes to @p budget until startMessage(). Reads fail with OverBudget when it is exceeded.
     * @param onRevoked as in BufferBudget::Reservation; it has to end a pending read of the source
     */
    void setBufferBudget(BufferBudget &budget, std::function<void()> onRevoked);
    /** Releases the bytes of the previous message from the budget; bytes that no read has consumed yet stay reserved. */
    void startMessage();

    /** Waits for the first byte of a message, or for the next one of a body that ends with the connection. */
    ReadResult<void> waitForData(TimePoint deadline);

    /**
     * Reads to the first empty line, inclusive. A CR without LF or a LF without CR is malformed as soon as it is seen,
     * because other parsers accept either as a line end.
     */
    ReadResult<std::string> readHead(std::size_t maximumBytes, TimePoint deadline);

    /** Reads one line and returns it without its CRLF. */
    ReadResult<std::string> readLine(std::size_t maximumBytes, TimePoint deadline);

    /** Appends exactly @p count bytes to @p out; memory grows with the bytes received, not with the announced count. */
    ReadResult<void> readExactly(std::string &out, std::size_t count, TimePoint deadline);

    /** Moves all received bytes that no read has consumed yet to the end of @p out. */
    void appendBuffered(std::string &out);
    /** True if received bytes are left that no read has consumed. */
    bool hasBufferedData() const;

private:
    ReadResult<void> fill(TimePoint deadline);
    /** As fill(), for bytes without which the message is incomplete. */
    ReadResult<void> fillWithinMessage(TimePoint deadline);
    std::string takeBuffered(std::size_t count);

    std::unique_ptr<ByteSource> m_source;
    std::unique_ptr<BufferBudget::Reservation> m_reservation;
    std::string m_buffer;
    std::size_t m_position = 0;
    std::size_t m_bytesSinceDeadlineCheck = 0;
};

} // namespace Pimentohollow
