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
 * A connection between two nodes that carries frames in both directions. Frames of one round of the event loop leave in one write.
 * A connection that fails, or whose other side doesn't read, is closed and reports that once.
 */
class MeshConnection : public std::enable_shared_from_this<MeshConnection>
{
public:
    struct Handlers {
        std::function<void(MeshFrame &&)> frameReceived;
        /** Not called after close(). */
        std::function<void()> disconnected;
    };

    /** @param held counts the frames that are read or wait to be sent */
    MeshConnection(std::unique_ptr<AsyncSocket> socket, HeldBytes &bufferBudget, Handlers handlers);

    /** Starts to read. */
    void start();
    /** Queues a frame; dropped if the connection is closed. */
    void send(const MeshFrame &frame);
    /** The same for a frame that appendFrame() has encoded, for one that goes to many nodes. */
    void sendEncoded(std::string_view bytes);
    void close();

    bool isOpen() const
    {
        return m_socket->isOpen();
    }

    /** When bytes last came from the other side. */
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
    /** When bytes were last offered to the kernel, which happens only while it takes some. */
    TimePoint m_lastWriteAt;
    TimePoint m_lastReceivedAt;
    HeldBytes::Lease m_receiveReservation;
    HeldBytes::Lease m_sendReservation;
};

} // namespace Pimentohollow
