#ifndef LYCHEESTEP_OPERATOR_MODEL_H
#define LYCHEESTEP_OPERATOR_MODEL_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cell_access.h"
#include "lycheestep/operator_command.h"

namespace lycheestep {

// One command and its answer.
struct OperatorCall
{
  // As the scenario names it; empty for the cell's own questions.
  std::string m_label;
  OperatorVerb m_verb = OperatorVerb::kStatus;
  KindName m_kind;
  EntryId m_entry;
  std::uint64_t m_incarnation = 0;
  TimePoint m_sent;
  TimePoint m_answeredAt;
  std::optional<OperatorReply> m_reply;
  std::size_t m_answers = 0;
};

// One sight of the catalogue version that a host has in force.
struct VersionSight
{
  EntryId m_entry;
  TimePoint m_time;
  std::uint64_t m_version = 0;
  // Which start of the host's process it was.
  std::uint64_t m_incarnation = 0;
  // Another process that runs and is not cut off from it had a greater one.
  bool m_newerInReach = false;
};

// The operators of the cell. Asks every host once a second for the version it
// has in force, as their monitoring does.
class OperatorModel
{
public:
  explicit OperatorModel(CellAccess& aCell);

  // Sends a command to a host. Returns false when it runs no process.
  bool Ask(const std::string& aLabel,
           const OperatorCommand& aCommand,
           VirtualHost& aHost);

  // Applies the first catalogue at any host until one accepts it.
  void ApplyFirst(std::shared_ptr<const Catalogue> aCatalogue);

  // Begins to ask for versions every second.
  void WatchVersions();

  void Answered(const VirtualHost& aHost, const AnswerOperator& aAnswer);

  const std::vector<OperatorCall>& Calls() const { return m_calls; }
  const std::vector<VersionSight>& Sights() const { return m_sights; }

private:
  bool NewerInReach(const VirtualHost& aHost, std::uint64_t aVersion) const;
  CallerTicket Send(const std::string& aLabel,
                    const OperatorCommand& aCommand,
                    VirtualHost& aHost);

  CellAccess& m_cell;
  // Far from the callers' tickets.
  CallerTicket m_nextTicket = 1000000000;
  std::vector<OperatorCall> m_calls;
  std::map<CallerTicket, std::size_t> m_byTicket;
  std::map<CallerTicket, EntryId> m_watching;
  std::vector<VersionSight> m_sights;
  // The last sight of each host.
  std::map<EntryId, VersionSight> m_latest;
  std::shared_ptr<const Catalogue> m_first;
  std::size_t m_turn = 0;
};

} // namespace lycheestep

#endif
