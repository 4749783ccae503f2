#pragma once

#include "async/net/asyncsocket.h"
#include "mesh/messages/meshcodec.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/**
 * A connection between two nodes that carries frames in both directions. Frames sent in one event loop iteration are written together.
 * A connection that fails, or whose peer doesn't read, is closed and reports that once.
 */
class MeshConnection : public std::enable_shared_from_this<MeshConnection>
{
public:
    struct Handlers {
        std::function<void(MeshFrame &&)> frameReceived;
        /** Called once when the connection is lost; not called after close(). */
        std::function<void()> disconnected;
    };

    /** @param bufferBudget accounts for partially received and unsent frames */
    MeshConnection(std::unique_ptr<AsyncSocket> socket, BufferBudget &bufferBudget, Handlers handlers);

    /** Starts reading frames. */
    void start();
    /** Queues a frame, or drops it if the connection is closed. */
    void send(const MeshFrame &frame);
    /** Queues a frame already encoded by appendFrame(), to encode a frame for many nodes only once. */
    void sendEncoded(std::string_view bytes);
    void close();

    bool isOpen() const
    {
        return m_socket->isOpen();
    }

    /** Time at which bytes were last received from the peer. */
    TimePoint lastReceivedAt() const
    {
        return m_lastReceivedAt;
    }

private:
    void readFrames();
    void scheduleFlush();
    bool handleReceived(std::string &received);
    void flush();
    void scheduleDisconnect(std::string_view reason);
    void disconnect();

    EventLoop &m_loop;
    std::unique_ptr<AsyncSocket> m_socket;
    Handlers m_handlers;
    std::string m_sendBuffer;
    bool m_flushScheduled = false;
    bool m_writeBlocked = false;
    /** Time of the last write to the socket, which happens only while the socket is writable. */
    TimePoint m_lastWriteAt;
    TimePoint m_lastReceivedAt;
    BufferBudget::Reservation m_receiveReservation;
    BufferBudget::Reservation m_sendReservation;
};

} // namespace Pimentohollow
