#ifndef LYCHEESTEP_PLATFORM_SERVER_H
#define LYCHEESTEP_PLATFORM_SERVER_H

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <vector>

#include "http_server.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"
#include "table_model.h"

namespace lycheestep {

// The platform over HTTP: table, objects and a host list that lags. POST
// /control {"down","lose_replies","delay_ms"} sets its faults, and GET
// /control/ledger tells what it did.
class PlatformServer
{
public:
  // Makes the host list of this moment.
  using ListHosts = std::function<std::vector<TargetListing>()>;

  // The list is made anew after aListLag.
  PlatformServer(ListHosts aListHosts, Duration aListLag);

  std::error_code Listen(const std::string& aHost, int aPort);
  int Port() const { return m_server.Port(); }
  void Stop() { m_server.Stop(); }

  // As POST /control does.
  void SetFaults(const TableFaults& aFaults);

  // The row of the table, for checks; version zero if there is none.
  TableRow RowAt(const std::string& aKey) const;

private:
  void AddRoutes();
  // Applies the faults around a call.
  HttpAnswer Serve(const std::function<HttpAnswer()>& aCall);
  HttpAnswer Transact(const HttpCall& aCall);
  HttpAnswer Read(const HttpCall& aCall);
  HttpAnswer Hosts(const HttpCall& aCall);
  HttpAnswer PutObject(const HttpCall& aCall);
  HttpAnswer GetObject(const HttpCall& aCall);
  HttpAnswer Control(const HttpCall& aCall);
  HttpAnswer Ledger();

  const ListHosts m_listHosts;
  const Duration m_listLag;
  mutable std::mutex m_mutex;
  TableModel m_table;
  TableFaults m_faults;
  std::map<std::string, std::string> m_objects;
  std::vector<TargetListing> m_hosts;
  TimePoint m_hostsAt{};
  HttpServer m_server;
};

} // namespace lycheestep

#endif
