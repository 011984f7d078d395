#ifndef LYCHEESTEP_NETWORK_ADDRESS_H
#define LYCHEESTEP_NETWORK_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>

namespace lycheestep {

// A host and a port that a connection can be opened to. Texts from outside
// become addresses here and nowhere else, so that whatever holds a
// NetworkAddress may hand it to a network library.
class NetworkAddress
{
public:
  // Makes no address: IsNone() is true, and calls to it are not sent.
  NetworkAddress() = default;

  // Parses "HOST:PORT". HOST is an IPv4 address, an IPv6 address in brackets or
  // a host name, PORT a number from 1 to 65535. Returns nothing for any other
  // text.
  static std::optional<NetworkAddress> Parse(const std::string& aText);

  // As Parse, but returns nothing for a host name, so that no connection to the
  // address waits for a name lookup.
  static std::optional<NetworkAddress> ParseNumeric(const std::string& aText);

  // As Parse, but returns no address where Parse returns nothing.
  static NetworkAddress ParseOrNone(const std::string& aText);

  bool IsNone() const { return m_port == 0; }

  // The host, without the brackets of an IPv6 address.
  const std::string& Host() const { return m_host; }
  std::uint16_t Port() const { return m_port; }

  // Returns "HOST:PORT"; empty if there is no address.
  std::string Text() const;

  friend bool operator==(const NetworkAddress& aLeft,
                         const NetworkAddress& aRight)
  {
    return aLeft.m_port == aRight.m_port && aLeft.m_host == aRight.m_host;
  }
  friend bool operator!=(const NetworkAddress& aLeft,
                         const NetworkAddress& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const NetworkAddress& aLeft,
                        const NetworkAddress& aRight)
  {
    return aLeft.m_host != aRight.m_host ? aLeft.m_host < aRight.m_host
                                         : aLeft.m_port < aRight.m_port;
  }

private:
  NetworkAddress(std::string aHost, std::uint16_t aPort);

  std::string m_host;
  std::uint16_t m_port = 0;
};

} // namespace lycheestep

#endif
