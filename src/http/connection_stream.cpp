#include "connection_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace lycheestep {

namespace {

// The most bytes that one recv call reads.
constexpr std::size_t kReadBlock = 16384;
// The stream sends written bytes once it has buffered this many.
constexpr std::size_t kWriteBufferLimit = 65536;

} // namespace

ConnectionStream::ConnectionStream(socket_t aSocket,
                                   std::chrono::milliseconds aTimeout)
  : m_socket(aSocket)
  , m_timeout(aTimeout)
{
}

bool ConnectionStream::WaitForBytes(std::chrono::milliseconds aTime)
{
  return m_consumed < m_received.size() || Poll(POLLIN, aTime);
}

bool ConnectionStream::Flush()
{
  std::size_t sent = 0;
  while (sent < m_unsent.size()) {
    const ssize_t count = ::send(m_socket,
                                 m_unsent.data() + sent,
                                 m_unsent.size() - sent,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    const bool full = count < 0 && (errno == EAGAIN || errno == EINTR);
    if (!full || !Poll(POLLOUT, m_timeout)) {
      return false;
    }
  }
  m_unsent.clear();
  return true;
}

bool ConnectionStream::is_readable() const
{
  return m_consumed < m_received.size() || Poll(POLLIN, m_timeout);
}

bool ConnectionStream::is_writable() const
{
  return true;
}

ssize_t ConnectionStream::read(char* aBytes, size_t aSize)
{
  if (m_consumed == m_received.size()) {
    m_received.resize(kReadBlock);
    m_consumed = 0;
    ssize_t count =
      ::recv(m_socket, m_received.data(), kReadBlock, MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      const bool readable = Poll(POLLIN, m_timeout);
      count =
        readable ? ::recv(m_socket, m_received.data(), kReadBlock, 0) : -1;
    }
    m_received.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    if (count <= 0) {
      return count;
    }
  }
  const std::size_t taken = std::min(aSize, m_received.size() - m_consumed);
  std::memcpy(aBytes, m_received.data() + m_consumed, taken);
  m_consumed += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t ConnectionStream::write(const char* aBytes, size_t aSize)
{
  m_unsent.append(aBytes, aSize);
  if (m_unsent.size() >= kWriteBufferLimit && !Flush()) {
    return -1;
  }
  return static_cast<ssize_t>(aSize);
}

void ConnectionStream::get_remote_ip_and_port(std::string& aIp,
                                              int& aPort) const
{
  aIp.clear(); // no handler uses the address
  aPort = 0;
}

void ConnectionStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

bool ConnectionStream::Poll(short aEvents,
                            std::chrono::milliseconds aTime) const
{
  pollfd item{};
  item.fd = m_socket;
  item.events = aEvents;
  int ready = 0;
  do {
    ready = ::poll(&item, 1, static_cast<int>(aTime.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

} // namespace lycheestep
