#ifndef LYCHEESTEP_HTTP_MESSAGES_H
#define LYCHEESTEP_HTTP_MESSAGES_H

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "http_router.h"
#include "lycheestep/network_address.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Tells how far a call got.
enum class HttpProgress
{
  kAnswered, // the whole answer was received
  kNotSent,  // no connection, or the body was withheld: the call had no effect
  kLost,     // sent, at least in part, and not answered
};

// One header line.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

// The answer to a call.
struct HttpReply
{
  HttpProgress m_progress = HttpProgress::kLost;
  // The HTTP status. Valid only if m_progress is kAnswered.
  int m_status = 0;
  std::string m_body;
};

// One call with its own timeout.
struct HttpRequest
{
  HttpMethod m_method = HttpMethod::kGet;
  NetworkAddress m_address;
  // The path, with the query string if there is one.
  std::string m_path;
  std::vector<HttpHeader> m_headers;
  // The JSON body. Empty when the request has no body.
  std::string m_body;
  // Limits each of connecting, writing and reading.
  Duration m_timeout = std::chrono::seconds(1);
  // Of a POST with a body: called once the call has a connection, right before
  // the body is written. If it returns false, the body is withheld.
  std::function<bool()> m_maySend;
};

} // namespace lycheestep

#endif
