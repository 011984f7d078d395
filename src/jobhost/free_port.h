#ifndef LYCHEESTEP_FREE_PORT_H
#define LYCHEESTEP_FREE_PORT_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

#include <gtest/gtest.h>

namespace lycheestep {

// Returns a port of the loopback interface at which nobody listens. For tests.
inline std::uint16_t FreePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
  const bool bound = ::bind(descriptor, generic, length) == 0 &&
                     ::getsockname(descriptor, generic, &length) == 0;
  ::close(descriptor);
  EXPECT_TRUE(bound);
  return ::ntohs(address.sin_port);
}

} // namespace lycheestep

#endif
