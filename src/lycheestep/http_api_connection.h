#ifndef LYCHEESTEP_HTTP_API_CONNECTION_H
#define LYCHEESTEP_HTTP_API_CONNECTION_H

#include <string>

#include "api_connection.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Calls an entry host over HTTP.
class HttpApiConnection : public ApiConnection
{
public:
  // aServer is a URL such as "http://127.0.0.1:8080". aToken goes along as
  // the bearer token; empty for none. aTimeout bounds the wait for an answer.
  HttpApiConnection(std::string aServer, std::string aToken, Duration aTimeout);

  ApiReply Call(const ApiCall& aCall) override;

private:
  std::string m_server;
  std::string m_token;
  Duration m_timeout;
};

// A part of a path with every byte but letters, digits and "-._~"
// percent-encoded.
std::string EncodePathPart(const std::string& aPart);

} // namespace lycheestep

#endif
