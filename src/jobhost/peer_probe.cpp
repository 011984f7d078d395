#include "peer_probe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>

#include "lycheestep/network_address.h"

namespace lycheestep {

namespace {

// Converts the text of an IPv4 address and port. Returns false for any other.
bool ParseAddress(const std::string& aText, sockaddr_in& aAddress)
{
  const auto address = NetworkAddress::ParseNumeric(aText);
  if (!address) {
    return false;
  }
  aAddress.sin_family = AF_INET;
  aAddress.sin_port = htons(address->Port());
  return inet_pton(AF_INET, address->Host().c_str(), &aAddress.sin_addr) == 1;
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
