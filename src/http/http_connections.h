#ifndef LYCHEESTEP_HTTP_CONNECTIONS_H
#define LYCHEESTEP_HTTP_CONNECTIONS_H

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "lycheestep/time_types.h"

namespace httplib {
class Client;
}

namespace lycheestep {

// How far a call got.
enum class HttpProgress
{
  kAnswered, // the whole answer is here
  kNotSent,  // no connection, or the body was held back: it had no effect
  kLost,     // sent, at least in part, and not answered
};

// The answer to a call.
struct HttpReply
{
  HttpProgress m_progress = HttpProgress::kLost;
  // Meaningful with kAnswered only.
  int m_status = 0;
  std::string m_body;
};

// Keeps idle connections to several hosts and uses them again. Safe from any
// thread; each call takes a connection for itself.
class HttpConnections
{
public:
  // aTimeout limits connecting, writing and reading, each.
  explicit HttpConnections(Duration aTimeout);
  ~HttpConnections();
  HttpConnections(const HttpConnections&) = delete;
  HttpConnections& operator=(const HttpConnections&) = delete;

  // Posts JSON text to aPath at aAddress ("127.0.0.1:9001"). The clock is
  // read after the connection is made, right before the body is written;
  // past aNotAfter the body is held back.
  HttpReply Post(const std::string& aAddress,
                 const std::string& aPath,
                 const std::string& aBody,
                 TimePoint aNotAfter = TimePoint::max());

  // Reads aPath.
  HttpReply Get(const std::string& aAddress, const std::string& aPath);

private:
  // A connection that nobody uses.
  struct Idle
  {
    std::unique_ptr<httplib::Client> m_client;
    TimePoint m_since;
  };

  using IdleList = std::vector<Idle>;

  std::unique_ptr<httplib::Client> Take(const std::string& aAddress);
  void GiveBack(const std::string& aAddress,
                std::unique_ptr<httplib::Client> aClient);

  const Duration m_timeout;
  std::mutex m_mutex;
  std::map<std::string, IdleList> m_idle;
};

} // namespace lycheestep

#endif
