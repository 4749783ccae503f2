#include "mesh/links/meshconnection.h"

#include "core/logger.h"

#include <array>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** A peer that accepts no byte for this long is considered stalled; equal to MeshLink::SilenceTimeout. */
constexpr std::chrono::seconds WriteStallTimeout(2);
constexpr std::size_t ReadBufferBytes = std::size_t{ 16 } * 1024;
/** Capacity that an empty buffer may retain. */
constexpr std::size_t RetainedBufferBytes = std::size_t{ 32 } * 1024;
const Logger Log("mesh");

void releaseLargeBuffer(std::string &buffer)
{
    if (buffer.capacity() > RetainedBufferBytes) {
        std::string().swap(buffer);
    }
}

} // namespace

MeshConnection::MeshConnection(std::unique_ptr<AsyncSocket> socket, BufferBudget &bufferBudget, Handlers handlers)
    : m_loop(socket->loop())
    , m_socket(std::move(socket))
    , m_handlers(std::move(handlers))
    , m_lastWriteAt(m_loop.now())
    , m_lastReceivedAt(m_loop.now())
    , m_receiveReservation(bufferBudget,
                           [this] {
                               scheduleDisconnect("buffer budget exhausted while receiving a frame");
                           })
    , m_sendReservation(bufferBudget, [this] {
        scheduleDisconnect("buffer budget exhausted by unsent frames");
    })
{
    m_socket->onWritable([this] {
        if (std::exchange(m_writeBlocked, false)) {
            flush();
        }
    });
}

void MeshConnection::start()
{
    m_loop.spawn([self = shared_from_this()] {
        self->readFrames();
    });
}

void MeshConnection::send(const MeshFrame &frame)
{
    if (!isOpen()) {
        return;
    }
    appendFrame(m_sendBuffer, frame);
    scheduleFlush();
}

void MeshConnection::sendEncoded(std::string_view bytes)
{
    if (!isOpen()) {
        return;
    }
    m_sendBuffer += bytes;
    scheduleFlush();
}

void MeshConnection::scheduleFlush()
{
    (void)m_sendReservation.set(m_sendBuffer.size());
    if (m_writeBlocked && m_loop.now() - m_lastWriteAt > WriteStallTimeout) {
        scheduleDisconnect("peer does not read");
    }
    if (m_writeBlocked || std::exchange(m_flushScheduled, true)) {
        return;
    }
    m_loop.post([self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

void MeshConnection::close()
{
    m_handlers = {};
    m_socket->close();
}

void MeshConnection::readFrames()
{
    std::string received;
    while (isOpen()) {
        std::array<char, ReadBufferBytes> bytes; // left uninitialised: the read below fills it
        const auto count = m_socket->read(bytes, TimePoint::max());
        if (!count) {
            break;
        }
        m_lastReceivedAt = m_loop.now();
        received.append(bytes.data(), *count);
        if (!handleReceived(received) || !m_receiveReservation.set(received.size())) {
            break;
        }
    }
    disconnect();
}

bool MeshConnection::handleReceived(std::string &received)
{
    std::string_view rest(received);
    while (isOpen()) {
        auto frame = extractFrame(rest);
        if (!frame) {
            Log.warning("frame_invalid", { { "error", frame.error().describe() } });
            return false;
        }
        if (!*frame) {
            break;
        }
        // Copied, because the handler may close this connection, which clears the handlers.
        if (const auto handler = m_handlers.frameReceived) {
            handler(std::move(**frame));
        }
    }
    received.erase(0, received.size() - rest.size());
    if (received.empty()) {
        releaseLargeBuffer(received);
    }
    return true;
}

void MeshConnection::flush()
{
    if (m_sendBuffer.empty() || !isOpen()) {
        return;
    }
    const auto sent = m_socket->writeSome(m_sendBuffer);
    if (!sent) {
        disconnect();
        return;
    }
    m_writeBlocked = *sent < m_sendBuffer.size();
    m_lastWriteAt = m_loop.now();
    m_sendBuffer.erase(0, *sent);
    (void)m_sendReservation.set(m_sendBuffer.size());
    if (m_sendBuffer.empty()) {
        releaseLargeBuffer(m_sendBuffer);
    }
}

void MeshConnection::scheduleDisconnect(std::string_view reason)
{
    if (!isOpen()) {
        return;
    }
    Log.warning("connection_given_up", { { "reason", std::string(reason) }, { "unsent_bytes", std::to_string(m_sendBuffer.size()) } });
    // Deferred, because this may run within a send: the disconnect handler may change data that the sender is iterating over.
    m_loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->disconnect();
        }
    });
}

void MeshConnection::disconnect()
{
    m_socket->close();
    const auto handlers = std::exchange(m_handlers, {});
    if (handlers.disconnected) {
        handlers.disconnected();
    }
}

} // namespace Pimentohollow
