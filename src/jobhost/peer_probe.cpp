#include "peer_probe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>

namespace lycheestep {

namespace {

bool ParseAddress(const std::string& aText, sockaddr_in& aAddress)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aAddress.sin_family = AF_INET;
  aAddress.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  return inet_pton(
           AF_INET, aText.substr(0, colon).c_str(), &aAddress.sin_addr) == 1;
}

// Returns the errno value with which the connection attempt ended, 0 if it
// succeeded, and EINPROGRESS if it did not end within aTimeout.
int ConnectError(int aSocket, const sockaddr_in& aAddress, Duration aTimeout)
{
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  if (connect(aSocket, address, sizeof(aAddress)) == 0) {
    return 0;
  }
  if (errno != EINPROGRESS) {
    return errno;
  }
  pollfd item{};
  item.fd = aSocket;
  item.events = POLLOUT;
  const auto limit =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout);
  if (poll(&item, 1, static_cast<int>(limit.count())) <= 0) {
    return EINPROGRESS;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

} // namespace

bool HasProcessEnded(const std::string& aAddress, Duration aTimeout)
{
  sockaddr_in address{};
  if (!ParseAddress(aAddress, address)) {
    return false;
  }
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (probe < 0) {
    return false;
  }
  const int error = ConnectError(probe, address, aTimeout);
  close(probe);
  return error == ECONNREFUSED;
}

} // namespace lycheestep
