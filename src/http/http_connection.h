#ifndef LYCHEESTEP_HTTP_CONNECTION_H
#define LYCHEESTEP_HTTP_CONNECTION_H

#include <cstdint>
#include <memory>
#include <string>

#include "http_messages.h"

namespace httplib {
class Client;
}

namespace lycheestep {

// A keep-alive connection to one address, which is opened again when a call
// finds it closed. One call uses it at a time.
//
// A process that ends takes its connections along, so whatever answers on one
// of them is one process. The caller can therefore name the peer after a call
// that told who it is, and send later calls to that peer alone.
class HttpConnection
{
public:
  // Calls are not sent if aAddress is none.
  explicit HttpConnection(const NetworkAddress& aAddress);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Makes a call. m_address of aRequest is not read.
  HttpReply Call(const HttpRequest& aRequest);

  // As Call, of a POST with a body. Withholds the body unless the call uses the
  // connection on which the peer was named.
  HttpReply CallPeer(HttpRequest aRequest);

  // Names the peer that answered the last call.
  void NamePeer(const std::string& aName);

  // Returns the name of the peer. Empty if it has none, or if the connection to
  // it is known to have ended.
  std::string PeerName() const;

private:
  HttpReply Send(const HttpRequest& aRequest);
  // Writes the body only if aRequest.m_maySend allows it.
  HttpReply SendIfAllowed(const HttpRequest& aRequest);

  // Null if there is no address.
  std::unique_ptr<httplib::Client> m_client;
  // The number of connections opened so far, and which of them m_peerName is
  // for.
  std::uint64_t m_opened = 0;
  std::uint64_t m_namedOn = 0;
  std::string m_peerName;
};

} // namespace lycheestep

#endif
