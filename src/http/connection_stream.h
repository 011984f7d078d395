#ifndef LYCHEESTEP_CONNECTION_STREAM_H
#define LYCHEESTEP_CONNECTION_STREAM_H

#include <httplib.h>

#include <chrono>
#include <string>

namespace lycheestep {

// A buffered socket stream for httplib. The stream reads in blocks. It buffers
// written bytes until Flush or until the buffer reaches its limit, so that an
// answer below the limit is sent in one piece.
class ConnectionStream : public httplib::Stream
{
public:
  // aTimeout limits each wait until the socket can be read or written.
  ConnectionStream(socket_t aSocket, std::chrono::milliseconds aTimeout);

  // Waits until bytes of the next request can be read. Returns false when none
  // has arrived within aTime.
  bool WaitForBytes(std::chrono::milliseconds aTime);

  // Sends the buffered bytes. Returns false when the connection is broken or
  // when the socket accepts no bytes within the timeout.
  bool Flush();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aBytes, size_t aSize) override;
  ssize_t write(const char* aBytes, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return m_socket; }

private:
  // Waits until one of aEvents occurs on the socket. Returns false when none
  // has within aTime.
  bool Poll(short aEvents, std::chrono::milliseconds aTime) const;

  const socket_t m_socket;
  const std::chrono::milliseconds m_timeout;
  std::string m_received;
  // The number of bytes at the start of m_received that read() has already
  // passed to its callers.
  std::size_t m_consumed = 0;
  std::string m_unsent;
};

} // namespace lycheestep

#endif
