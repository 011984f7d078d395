#ifndef LYCHEESTEP_OPERATOR_COMMAND_H
#define LYCHEESTEP_OPERATOR_COMMAND_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "lycheestep/catalogue.h"
#include "lycheestep/id.h"

namespace lycheestep {

// What an operator asks for.
enum class OperatorVerb
{
  kApply,    // replace the catalogue
  kShow,     // the catalogue in force
  kHistory,  // who changed it when
  kStart,    // let a kind of work run
  kStop,     // take no new work of a kind, let what runs finish
  kDrain,    // as kStop, and stop running tasks gracefully
  kAnnounce, // a customer was called about a planned slowdown of a kind
  kStatus,   // this host, its peers, queues and targets
};

// One command of an operator.
struct OperatorCommand
{
  OperatorVerb m_verb = OperatorVerb::kStatus;
  // Who asks, for the audit rows.
  std::string m_operator;
  // kStart, kStop, kDrain, kAnnounce: the kind of work.
  KindName m_kind;
  // kAnnounce: the customer who was called.
  CustomerName m_customer;
  // kApply: the catalogue, whose m_version is ignored.
  std::shared_ptr<const Catalogue> m_catalogue;
  // kApply: the version the change was made against.
  std::uint64_t m_baseVersion = 0;
  // kApply: one line that says why, for the history.
  std::string m_message;
  // When the operator asked, for the audit rows only.
  std::chrono::system_clock::time_point m_askedAt;
};

// One accepted change of the catalogue.
struct CatalogueChange
{
  std::uint64_t m_version = 0;
  std::string m_operator;
  std::string m_message;
};

// One line of the status answer: "queue", "tender-quote", "12 waiting".
struct StatusLine
{
  std::string m_part;
  std::string m_name;
  std::string m_value;
};

// The answer to an operator.
struct OperatorReply
{
  // Empty when the command took effect.
  std::error_code m_error;
  // One sentence that says what happened or what to do.
  std::string m_detail;
  // True when the table's answer was lost and the effect is not known yet.
  bool m_unknown = false;
  // The version now in force here.
  std::uint64_t m_version = 0;
  // kShow, and kApply after a conflict: the catalogue in force.
  std::shared_ptr<const Catalogue> m_catalogue;
  // Promised customers whom the command would slow down and who have not
  // been called; the command is held until kAnnounce names each.
  std::vector<Customer> m_toCall;
  std::vector<CatalogueChange> m_history;
  std::vector<StatusLine> m_status;
};

} // namespace lycheestep

#endif
