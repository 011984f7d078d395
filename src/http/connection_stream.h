#ifndef LYCHEESTEP_CONNECTION_STREAM_H
#define LYCHEESTEP_CONNECTION_STREAM_H

#include <httplib.h>

#include <chrono>
#include <string>

namespace lycheestep {

// One connection as httplib reads and writes it. Reads in blocks, and holds
// back what is written until Flush, so that an answer leaves in one piece.
class ConnectionStream : public httplib::Stream
{
public:
  // aTimeout limits each wait for the other side.
  ConnectionStream(socket_t aSocket, std::chrono::milliseconds aTimeout);

  // Waits for the next request; false when none has come in time.
  bool WaitForBytes(std::chrono::milliseconds aTime);

  // Sends what was written; false when the connection is broken or stuck.
  bool Flush();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aBytes, size_t aSize) override;
  ssize_t write(const char* aBytes, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return m_socket; }

private:
  bool Poll(short aEvents, std::chrono::milliseconds aTime) const;

  const socket_t m_socket;
  const std::chrono::milliseconds m_timeout;
  std::string m_received;
  std::size_t m_consumed = 0;
  std::string m_unsent;
};

} // namespace lycheestep

#endif
