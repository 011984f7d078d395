#ifndef LYCHEESTEP_API_CONNECTION_H
#define LYCHEESTEP_API_CONNECTION_H

#include <string>

namespace lycheestep {

// Methods of the HTTP API.
enum class ApiMethod
{
  kGet,
  kPost,
  kPut,
  kDelete,
};

// One call of the HTTP API.
struct ApiCall
{
  ApiMethod m_method = ApiMethod::kGet;
  // The path with its parts percent-encoded.
  std::string m_path;
  // JSON text; empty for none.
  std::string m_body;
};

// How far a call got.
enum class Delivery
{
  kAnswered,
  kNotSent, // no connection: the host saw nothing of the call
  kLost,    // the call may have arrived; the answer did not
};

// What came back.
struct ApiReply
{
  Delivery m_delivery = Delivery::kNotSent;
  int m_status = 0;
  std::string m_body;
  // Why there is no answer.
  std::string m_detail;
};

// The connection of the client commands to an entry host.
class ApiConnection
{
public:
  virtual ~ApiConnection() = default;

  // Makes one call and waits for its answer. Never repeats a call.
  virtual ApiReply Call(const ApiCall& aCall) = 0;
};

} // namespace lycheestep

#endif
