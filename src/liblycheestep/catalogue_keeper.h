#ifndef LYCHEESTEP_CATALOGUE_KEEPER_H
#define LYCHEESTEP_CATALOGUE_KEEPER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core_context.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/id.h"
#include "lycheestep/operator_command.h"
#include "lycheestep/table.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class PeerDirectory;
class TableCalls;

namespace proto {
class CatalogueTransfer;
}

// Told when a greater version is in force.
class CatalogueListener
{
public:
  virtual ~CatalogueListener() = default;
  virtual void OnCatalogue(CoreContext& aContext,
                           std::shared_ptr<const Catalogue> aCatalogue) = 0;
};

// Called with the answer to an operator.
using OperatorContinuation =
  std::function<void(CoreContext&, const OperatorReply&)>;

// The catalogue in force at this host. Its row catalogue/current holds the
// version, catalogue/body the whole and catalogue/history/<version> each
// change. The version is polled, and peers push new ones to each other; only
// greater versions whose digest is right are taken.
class CatalogueKeeper
{
public:
  CatalogueKeeper(TableCalls& aTable, PeerDirectory& aPeers);

  void SetListener(CatalogueListener* aListener) { m_listener = aListener; }

  // Polls the row when it is due.
  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const { return m_nextPoll; }

  // The catalogue in force, or null before the first one.
  std::shared_ptr<const Catalogue> Current() const { return m_current; }
  std::uint64_t Version() const { return m_current ? m_current->m_version : 0; }

  // Writes a new catalogue on condition that m_baseVersion is current. Of two
  // operators who race one gets kVersionConflict and the catalogue in force.
  // A lost reply is read back. A catalogue equal to the current one is no
  // change and succeeds.
  void Apply(CoreContext& aContext,
             const OperatorCommand& aCommand,
             OperatorContinuation aContinue);

  // The latest accepted changes, newest first.
  void History(CoreContext& aContext, OperatorContinuation aContinue);

  // A peer has that version, by offer or heartbeat; asks for it if greater.
  void HandlePeerVersion(CoreContext& aContext,
                         const EntryId& aFrom,
                         std::uint64_t aVersion);

  // A peer wants the change from the version it has.
  void HandleRequest(CoreContext& aContext,
                     const EntryId& aFrom,
                     std::uint64_t aHaveVersion);

  // A peer sent a catalogue or a change.
  void HandleTransfer(CoreContext& aContext,
                      const EntryId& aFrom,
                      const proto::CatalogueTransfer& aTransfer);

private:
  // An operator's change on its way into the table.
  struct Change
  {
    OperatorCommand m_command;
    OperatorContinuation m_continue;
    std::shared_ptr<const Catalogue> m_next;
    std::string m_digested;
    bool m_sent = false;
    int m_triesLeft = 0;
  };
  using ChangePointer = std::shared_ptr<Change>;
  using ReadDone = std::function<void(CoreContext&, bool aReached)>;

  void Read(CoreContext& aContext, bool aWithBody, ReadDone aDone);
  bool TakeRows(CoreContext& aContext, const TableAnswer& aAnswer);
  bool TakeDelta(CoreContext& aContext, const std::string& aCurrentRow);
  bool TakeBody(CoreContext& aContext, const std::string& aBodyRow);
  void WriteChange(CoreContext& aContext, const ChangePointer& aChange);
  TableTransaction TransactionOf(const Change& aChange) const;
  void HandleWritten(CoreContext& aContext,
                     const ChangePointer& aChange,
                     TableStatus aStatus);
  void ResolveChange(CoreContext& aContext, const ChangePointer& aChange);
  void CheckHistory(CoreContext& aContext, const ChangePointer& aChange);
  void Accepted(CoreContext& aContext, const Change& aChange);
  void Conflict(CoreContext& aContext, const Change& aChange);
  bool PutInForce(CoreContext& aContext,
                  std::shared_ptr<const Catalogue> aCatalogue);
  void AskPeer(CoreContext& aContext,
               const EntryId& aPeer,
               std::uint64_t aHaveVersion);
  OperatorReply Reply() const;

  TableCalls& m_table;
  PeerDirectory& m_peers;
  CatalogueListener* m_listener = nullptr;
  std::shared_ptr<const Catalogue> m_current;
  // The table's version of catalogue/current at the last successful read.
  std::uint64_t m_rowVersion = 0;
  // The last few versions, for peers that are a little behind.
  std::map<std::uint64_t, std::shared_ptr<const Catalogue>> m_past;
  // The greatest version that a peer was asked for, and when.
  std::uint64_t m_askedVersion = 0;
  TimePoint m_askedAt;
  bool m_polling = false;
  TimePoint m_nextPoll;
};

} // namespace lycheestep

#endif
