#include "mesh/links/meshconnection.h"

#include "core/logger.h"

#include <array>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** The other side counts as stuck when it takes no byte for this long; as MeshLink::DeadSilence. */
constexpr std::chrono::seconds StuckTime(2);
constexpr std::size_t ReadBytes = std::size_t{ 16 } * 1024;
/** Capacity that an empty buffer keeps. */
constexpr std::size_t KeptBytes = std::size_t{ 32 } * 1024;
const Logger Log("mesh");

void releaseLarge(std::string &buffer)
{
    if (buffer.capacity() > KeptBytes) {
        std::string().swap(buffer);
    }
}

} // namespace

MeshConnection::MeshConnection(std::unique_ptr<AsyncSocket> socket, BufferBudget &held, Handlers handlers)
    : m_loop(socket->loop())
    , m_socket(std::move(socket))
    , m_handlers(std::move(handlers))
    , m_lastTaken(m_loop.now())
    , m_lastReceived(m_loop.now())
    , m_incoming(held,
                 [this] {
                     loseLater("no room for a frame");
                 })
    , m_outgoing(held, [this] {
        loseLater("no room for unsent frames");
    })
{
    m_socket->onWritable([this] {
        if (std::exchange(m_blocked, false)) {
            flush();
        }
    });
}

void MeshConnection::start()
{
    m_loop.spawn([self = shared_from_this()] {
        self->read();
    });
}

void MeshConnection::send(const MeshFrame &frame)
{
    if (!isOpen()) {
        return;
    }
    appendFrame(m_output, frame);
    postFlush();
}

void MeshConnection::sendEncoded(std::string_view bytes)
{
    if (!isOpen()) {
        return;
    }
    m_output += bytes;
    postFlush();
}

void MeshConnection::postFlush()
{
    (void)m_outgoing.set(m_output.size());
    if (m_blocked && m_loop.now() - m_lastTaken > StuckTime) {
        loseLater("the peer does not read");
    }
    if (m_blocked || std::exchange(m_flushPosted, true)) {
        return;
    }
    m_loop.post([self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void MeshConnection::close()
{
    m_handlers = {};
    m_socket->close();
}

void MeshConnection::read()
{
    std::string received;
    while (isOpen()) {
        std::array<char, ReadBytes> bytes; // not initialised: it is written by the read below
        const auto count = m_socket->read(bytes, TimePoint::max());
        if (!count) {
            break;
        }
        m_lastReceived = m_loop.now();
        received.append(bytes.data(), *count);
        if (!handleReceived(received) || !m_incoming.set(received.size())) {
            break;
        }
    }
    lose();
}

bool MeshConnection::handleReceived(std::string &received)
{
    std::string_view rest(received);
    while (isOpen()) {
        auto frame = takeFrame(rest);
        if (!frame) {
            Log.warning("frame_invalid", { { "error", frame.error().describe() } });
            return false;
        }
        if (!*frame) {
            break;
        }
        // Copied, because the handler may close this connection and with it the handlers.
        if (const auto handler = m_handlers.frame) {
            handler(std::move(**frame));
        }
    }
    received.erase(0, received.size() - rest.size());
    if (received.empty()) {
        releaseLarge(received);
    }
    return true;
}

void MeshConnection::flush()
{
    if (m_output.empty() || !isOpen()) {
        return;
    }
    const auto sent = m_socket->writeSome(m_output);
    if (!sent) {
        lose();
        return;
    }
    m_blocked = *sent < m_output.size();
    m_lastTaken = m_loop.now();
    m_output.erase(0, *sent);
    (void)m_outgoing.set(m_output.size());
    if (m_output.empty()) {
        releaseLarge(m_output);
    }
}

void MeshConnection::loseLater(std::string_view reason)
{
    if (!isOpen()) {
        return;
    }
    Log.warning("connection_given_up", { { "reason", std::string(reason) }, { "unsent_bytes", std::to_string(m_output.size()) } });
    // From within a send: the handlers of the loss may change what the sender is looking at.
    m_loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->lose();
        }
    });
}

void MeshConnection::lose()
{
    m_socket->close();
    const auto handlers = std::exchange(m_handlers, {});
    if (handlers.lost) {
        handlers.lost();
    }
}

} // namespace Pimentohollow
