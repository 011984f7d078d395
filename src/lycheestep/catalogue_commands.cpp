#include <cmath>
#include <memory>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "api_connection.h"
#include "command_line.h"
#include "commands.h"
#include "document_diff.h"
#include "json_access.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/document.h"
#include "operator_reply.h"
#include "output.h"
#include "planned_slowdown.h"
#include "text_file.h"

namespace lycheestep {

namespace {

using nlohmann::json;
using CataloguePointer = std::shared_ptr<const Catalogue>;

// A catalogue, or the exit code of the command that could not get it; the
// reason is printed then.
struct CatalogueOrExit
{
  CataloguePointer m_catalogue;
  ExitCode m_exit = ExitCode::kInvalid;
};

CatalogueOrExit ReadCatalogueFile(const std::string& aFile, Output& aOutput)
{
  CatalogueOrExit result;
  const auto text = ReadTextFile(aFile);
  if (!text) {
    aOutput.Error(aFile + ": must be a file that can be read");
    return result;
  }
  const CatalogueDocument read = ReadCatalogue(*text, aFile);
  for (const DocumentProblem& problem : read.m_problems) {
    aOutput.Error(problem.Describe());
  }
  result.m_catalogue = read.m_catalogue;
  return result;
}

// The catalogue in force. One of version 0 stands for none.
CatalogueOrExit FetchCatalogue(const CommandLine& aCommandLine,
                               ApiConnection& aConnection,
                               Output& aOutput)
{
  CatalogueOrExit result;
  ApiCall call;
  call.m_path = "/v1/catalogue";
  const HostAnswer answer =
    CallHost(aConnection, call, aCommandLine, "", aOutput);
  if (!answer.m_json) {
    result.m_exit = answer.m_exit;
    return result;
  }
  const std::string error = TextOrEmpty(*answer.m_json, "error");
  if (!error.empty()) {
    CommandLine quiet = aCommandLine;
    quiet.m_json = false;
    result.m_exit = ReportOperatorAnswer(*answer.m_json, quiet, aOutput);
    return result;
  }
  const json* body = FindMember(*answer.m_json, "catalogue");
  if (body == nullptr || body->is_null()) {
    result.m_catalogue = std::make_shared<const Catalogue>();
    return result;
  }
  const CatalogueDocument read =
    ReadCatalogue(body->dump(), aCommandLine.m_server);
  for (const DocumentProblem& problem : read.m_problems) {
    aOutput.Error(problem.Describe());
  }
  if (read.m_catalogue) {
    auto catalogue = std::make_shared<Catalogue>(*read.m_catalogue);
    const auto version = NumberMember(*answer.m_json, "version");
    catalogue->m_version = static_cast<std::uint64_t>(version.value_or(0.0));
    result.m_catalogue = std::move(catalogue);
  }
  return result;
}

std::uint64_t BaseVersion(const CommandLine& aCommandLine,
                          const Catalogue& aWanted,
                          const Catalogue& aInForce)
{
  if (aCommandLine.m_baseVersion) {
    return *aCommandLine.m_baseVersion;
  }
  return aWanted.m_version != 0 ? aWanted.m_version : aInForce.m_version;
}

std::string DescribeDifference(const DocumentDifference& aDifference)
{
  if (aDifference.m_before.empty()) {
    return "+ " + aDifference.m_path + ": " + aDifference.m_after;
  }
  if (aDifference.m_after.empty()) {
    return "- " + aDifference.m_path + ": " + aDifference.m_before;
  }
  return "~ " + aDifference.m_path + ": " + aDifference.m_before + " -> " +
         aDifference.m_after;
}

json ToJson(const std::vector<DocumentDifference>& aDifferences)
{
  json list = json::array();
  for (const DocumentDifference& difference : aDifferences) {
    list.push_back({ { "path", difference.m_path },
                     { "before", difference.m_before },
                     { "after", difference.m_after } });
  }
  return list;
}

// A promised customer whose work a change would slow down.
struct CustomerToCall
{
  KindName m_kind;
  const Customer* m_customer = nullptr;
};

// All who have to be called before aAfter may replace aBefore, as the host
// will judge it. Points into aBefore.
std::vector<CustomerToCall> CustomersToCall(const Catalogue& aBefore,
                                            const Catalogue& aAfter)
{
  std::vector<CustomerToCall> calls;
  for (const KindName& kind : SlowedKinds(aBefore, aAfter)) {
    for (const Customer* customer : aBefore.PromisedCustomersOf(kind)) {
      calls.push_back({ kind, customer });
    }
  }
  return calls;
}

json ToJson(const std::vector<CustomerToCall>& aCalls)
{
  json list = json::array();
  for (const CustomerToCall& call : aCalls) {
    list.push_back({ { "kind", call.m_kind.Text() },
                     { "customer", call.m_customer->m_name.Text() },
                     { "contact", call.m_customer->m_contact } });
  }
  return list;
}

ApiCall ApplyCall(const CommandLine& aCommandLine,
                  const Catalogue& aWanted,
                  std::uint64_t aBase)
{
  Catalogue unversioned = aWanted;
  unversioned.m_version = 0;
  json body = { { "base_version", aBase },
                { "message", aCommandLine.m_message },
                { "operator", aCommandLine.m_operator },
                { "catalogue", json::parse(WriteCatalogue(unversioned)) } };
  ApiCall call;
  call.m_method = ApiMethod::kPut;
  call.m_path = "/v1/catalogue";
  call.m_body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return call;
}

// The catalogue of the command's file and the one in force. If one of them is
// null, m_exit is the exit code of the command that could not get it.
struct ComparedCatalogues
{
  CataloguePointer m_wanted;
  CataloguePointer m_inForce;
  ExitCode m_exit = ExitCode::kInvalid;
};

// Reads the command's file and asks the host for the catalogue in force. Why
// one of them is missing is printed.
ComparedCatalogues ReadBothCatalogues(const CommandLine& aCommandLine,
                                      ApiConnection& aConnection,
                                      Output& aOutput)
{
  ComparedCatalogues compared;
  const CatalogueOrExit wanted =
    ReadCatalogueFile(aCommandLine.m_file, aOutput);
  compared.m_wanted = wanted.m_catalogue;
  if (!wanted.m_catalogue) {
    compared.m_exit = wanted.m_exit;
    return compared;
  }
  const CatalogueOrExit inForce =
    FetchCatalogue(aCommandLine, aConnection, aOutput);
  compared.m_inForce = inForce.m_catalogue;
  compared.m_exit = inForce.m_exit;
  return compared;
}

} // namespace

ExitCode RunApplyCommand(const CommandLine& aCommandLine,
                         ApiConnection& aConnection,
                         Output& aOutput)
{
  const ComparedCatalogues compared =
    ReadBothCatalogues(aCommandLine, aConnection, aOutput);
  if (!compared.m_wanted || !compared.m_inForce) {
    return compared.m_exit;
  }
  const Catalogue& wanted = *compared.m_wanted;
  const Catalogue& inForce = *compared.m_inForce;
  const std::uint64_t version = inForce.m_version;
  if (CompareCatalogues(inForce, wanted).empty()) {
    const std::string detail =
      "already in force as version " + std::to_string(version);
    const json answer = { { "error", nullptr },
                          { "detail", detail },
                          { "version", version } };
    return ReportOperatorAnswer(answer, aCommandLine, aOutput);
  }
  const std::uint64_t base = BaseVersion(aCommandLine, wanted, inForce);
  const HostAnswer answer =
    CallHost(aConnection,
             ApplyCall(aCommandLine, wanted, base),
             aCommandLine,
             "run the same apply again: it does nothing when it was taken",
             aOutput);
  if (!answer.m_json) {
    return answer.m_exit;
  }
  return ReportOperatorAnswer(*answer.m_json, aCommandLine, aOutput);
}

ExitCode RunDiffCommand(const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput)
{
  const ComparedCatalogues compared =
    ReadBothCatalogues(aCommandLine, aConnection, aOutput);
  if (!compared.m_wanted || !compared.m_inForce) {
    return compared.m_exit;
  }
  const Catalogue& wanted = *compared.m_wanted;
  const Catalogue& inForce = *compared.m_inForce;
  const auto differences = CompareCatalogues(inForce, wanted);
  const auto calls = CustomersToCall(inForce, wanted);
  const std::uint64_t version = inForce.m_version;
  if (aCommandLine.m_json) {
    aOutput.Json({ { "version", version },
                   { "differences", ToJson(differences) },
                   { "to_call", ToJson(calls) } });
    return ExitCode::kDone;
  }
  aOutput.Line("against version " + std::to_string(version) + ": " +
               std::to_string(differences.size()) + " differences");
  for (const DocumentDifference& difference : differences) {
    aOutput.Line(DescribeDifference(difference));
  }
  for (const CustomerToCall& call : calls) {
    aOutput.Line("slows down " + call.m_kind.Text() +
                 ", call first: " + call.m_customer->m_name.Text() + " (" +
                 call.m_customer->m_contact + ")");
  }
  return ExitCode::kDone;
}

ExitCode RunHistoryCommand(const CommandLine& aCommandLine,
                           ApiConnection& aConnection,
                           Output& aOutput)
{
  ApiCall call;
  call.m_path = "/v1/catalogue/history";
  const HostAnswer answer =
    CallHost(aConnection, call, aCommandLine, "", aOutput);
  if (!answer.m_json) {
    return answer.m_exit;
  }
  if (!aCommandLine.m_json) {
    for (const json& change : ListMember(*answer.m_json, "history")) {
      const auto version = NumberMember(change, "version").value_or(0.0);
      aOutput.Line("version " + std::to_string(std::llround(version)) + " by " +
                   TextOrEmpty(change, "operator") + ": " +
                   TextOrEmpty(change, "message"));
    }
  }
  return ReportOperatorAnswer(*answer.m_json, aCommandLine, aOutput);
}

ExitCode RunShowCommand(const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput)
{
  const CatalogueOrExit inForce =
    FetchCatalogue(aCommandLine, aConnection, aOutput);
  if (!inForce.m_catalogue) {
    return inForce.m_exit;
  }
  if (inForce.m_catalogue->m_version == 0 &&
      inForce.m_catalogue->m_kinds.empty()) {
    aOutput.Error("no catalogue is in force; run `lycheestep apply FILE`");
    return ExitCode::kRefused;
  }
  aOutput.Text(WriteCatalogue(*inForce.m_catalogue));
  return ExitCode::kDone;
}

} // namespace lycheestep
