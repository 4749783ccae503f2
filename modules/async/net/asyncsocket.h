#pragma once

#include "async/loop/eventloop.h"
#include "async/loop/waitpoint.h"
#include "core/error.h"
#include "core/ipendpoint.h"
#include "http/reading/bytestream.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/**
 * Non-blocking TCP connection. Reads and writes suspend the current fiber; one fiber may read while another one writes.
 * A call that waits returns early when close() is called.
 */
class AsyncSocket : private EventHandler
{
public:
    /** Takes over a connected, non-blocking @p fd. */
    AsyncSocket(EventLoop &loop, int fd);
    ~AsyncSocket() override;
    AsyncSocket(const AsyncSocket &) = delete;
    AsyncSocket &operator=(const AsyncSocket &) = delete;

    /** Errors: Unavailable (refused, unreachable), Timeout. Nothing was sent in either case. */
    static Result<std::unique_ptr<AsyncSocket>> connect(EventLoop &loop, const IpEndpoint &address, TimePoint deadline);

    /**
     * Reads at least one byte. Errors: Closed (the other side ended its direction in order, and nothing has failed in either one), Failed,
     * Timeout. Bytes received before a failure can still be read after it.
     */
    ReadResult<std::size_t> read(std::span<char> buffer, TimePoint deadline);
    /** Writes everything. Errors: OutcomeUnknown (a part may have been sent), Timeout. */
    Result<void> writeAll(std::string_view bytes, TimePoint deadline);
    /** Writes what the kernel takes now; the number of bytes, or nothing if the connection failed. */
    std::optional<std::size_t> writeSome(std::string_view bytes);

    void close();
    /** Ends the read that waits, or the next one, as if the other side had closed. */
    void interruptRead();
    /** Ends the own direction; the other side's bytes can still be read. */
    void finishWriting();
    /** Closes with a reset, so that the other side doesn't take what it got for a complete message. */
    void reset();

    bool isOpen() const
    {
        return m_fd >= 0;
    }

    /** True once the other side closed its direction or the connection failed. Bytes sent before may still be unread. */
    bool closedByPeer() const
    {
        return m_closedByPeer;
    }

    /** True if all bytes were read up to the orderly end of the other side's direction, and neither direction has failed. */
    bool endedOrderly() const
    {
        return m_endRead && !hasFailed();
    }

    /** True if a call of either direction found that the connection has failed. Bytes received before may still be unread. */
    bool hasFailed() const
    {
        return m_failure != 0;
    }

    /** Describes the first failure of the connection; empty if there was none. */
    std::string failureText() const;

    /**
     * Waits until the other side has acknowledged all bytes written. Until then, a reset may still follow the orderly end of its direction.
     * Errors: Failed, Timeout.
     */
    ReadResult<void> waitUntilDelivered(TimePoint deadline);

    /** True if bytes or the end of the stream are waiting; asks the kernel only if an event came since the last read. */
    bool hasPendingBytes();
    /** The same, but always asks the kernel: no event may have been handled yet for bytes that just came. */
    bool hasUnreadBytes();

    /** Called when closedByPeer() becomes true. */
    void onClosedByPeer(std::function<void()> callback)
    {
        m_onClosedByPeer = std::move(callback);
    }

    /** Called when the kernel takes bytes again after writeSome() took less than all. */
    void onWritable(std::function<void()> callback)
    {
        m_onWritable = std::move(callback);
    }

    EventLoop &loop()
    {
        return m_loop;
    }

private:
    void handleEvents(std::uint32_t events) override;
    Result<void> finishConnect(const IpEndpoint &address, TimePoint deadline);
    /** Keeps the first failure. The kernel reports a failure only once, to whichever call meets it. */
    void recordFailure(int ec);
    /** Records the failure that the kernel holds for the next call, if any. */
    void recordPendingFailure();

    EventLoop &m_loop;
    int m_fd;
    bool m_readable = true;
    bool m_writable = true;
    bool m_closedByPeer = false;
    bool m_endRead = false;
    /** The errno of the first failure; 0 if there was none. */
    int m_failure = 0;
    bool m_readInterrupted = false;
    WaitPoint m_readers;
    WaitPoint m_writers;
    std::function<void()> m_onClosedByPeer;
    std::function<void()> m_onWritable;
};

} // namespace Pimentohollow
