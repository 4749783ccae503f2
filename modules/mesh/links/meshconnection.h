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
        std::function<void(MeshFrame &&)> frame;
        /** Not called after close(). */
        std::function<void()> lost;
    };

    /** @param held counts the frames that are read or wait to be sent */
    MeshConnection(std::unique_ptr<AsyncSocket> socket, BufferBudget &held, Handlers handlers);

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
    TimePoint lastReceived() const
    {
        return m_lastReceived;
    }

private:
    void read();
    void postFlush();
    bool handleReceived(std::string &received);
    void flush();
    void loseLater(std::string_view reason);
    void lose();

    EventLoop &m_loop;
    std::unique_ptr<AsyncSocket> m_socket;
    Handlers m_handlers;
    std::string m_output;
    bool m_flushPosted = false;
    bool m_blocked = false;
    /** When bytes were last offered to the kernel, which happens only while it takes some. */
    TimePoint m_lastTaken;
    TimePoint m_lastReceived;
    BufferBudget::Reservation m_incoming;
    BufferBudget::Reservation m_outgoing;
};

} // namespace Pimentohollow
