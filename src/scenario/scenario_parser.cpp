#include "scenario_parser.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "line_reader.h"

namespace lycheestep {

namespace {

constexpr std::int64_t kLargestCount = 100000;

} // namespace

ScenarioParser::ScenarioParser(std::string aFile, CatalogueReader aReader)
  : m_file(std::move(aFile))
  , m_reader(std::move(aReader))
{
}

ParsedScenario ScenarioParser::Parse(const std::string& aText)
{
  m_scenario = std::make_unique<Scenario>();
  m_catalogue = Catalogue();
  m_errors.clear();
  std::istringstream stream(aText);
  ParseLines(stream);
  if (m_scenario->m_layout.m_hosts.empty() && m_errors.empty()) {
    m_errors.push_back(m_file + ":" + std::to_string(m_line) +
                       ": expected a line \"data centre NAME has N hosts\"");
  }
  ParsedScenario parsed;
  parsed.m_errors = std::move(m_errors);
  if (parsed.m_errors.empty()) {
    m_scenario->m_layout.m_catalogue =
      std::make_shared<const Catalogue>(m_catalogue);
    parsed.m_scenario = std::move(m_scenario);
  }
  return parsed;
}

void ScenarioParser::ParseLines(std::istream& aStream)
{
  m_line = 0;
  std::string line;
  while (std::getline(aStream, line)) {
    ++m_line;
    ParseLine(line.substr(0, line.find('#')));
  }
}

void ScenarioParser::ParseInclude(LineReader& aReader)
{
  const std::string name = aReader.Name("a file name");
  std::ifstream file(name);
  if (!file || m_including) {
    aReader.RejectLast("a file that can be read and includes no other");
    return;
  }
  const std::string outerFile = std::exchange(m_file, name);
  const std::size_t outerLine = m_line;
  m_including = true;
  ParseLines(file);
  m_including = false;
  m_file = outerFile;
  m_line = outerLine;
}

void ScenarioParser::ParseLine(const std::string& aLine)
{
  LineReader reader(aLine);
  if (reader.AtEnd()) {
    return;
  }
  m_text = aLine.substr(0, aLine.find_last_not_of(" \t\r") + 1);
  const bool known = ParseLayout(reader) || ParseCatalogue(reader) ||
                     ParseStep(reader) || ParseExpectation(reader);
  if (!known) {
    reader.Fail("a layout, catalogue, timed or expectation line");
  }
  reader.End();
  if (reader.Failed()) {
    m_errors.push_back(m_file + ":" + std::to_string(m_line) + ": " +
                       reader.Error());
  }
}

bool ScenarioParser::ParseLayout(LineReader& aReader)
{
  CellLayout& layout = m_scenario->m_layout;
  NetworkSettings& network = layout.m_network;
  if (aReader.Try("include")) {
    ParseInclude(aReader);
  } else if (aReader.Try("seed")) {
    layout.m_seed = static_cast<std::uint64_t>(aReader.Number());
  } else if (aReader.Try("end at")) {
    m_scenario->m_end = aReader.Time();
  } else if (aReader.Try("between data centres")) {
    network.m_betweenDataCentres = aReader.Time();
  } else if (aReader.Try("to callers")) {
    network.m_toCallers = aReader.Time();
  } else if (aReader.Try("to the platform")) {
    network.m_toPlatform = aReader.Time();
  } else if (aReader.Try("delays vary by")) {
    network.m_variationPercent = static_cast<int>(aReader.Percent() / 100);
  } else if (aReader.Try("loss")) {
    network.m_lossPerTenThousand = static_cast<int>(aReader.Percent());
  } else if (aReader.Try("list lag")) {
    layout.m_listLag = aReader.Time();
  } else if (aReader.Try("data centre")) {
    ParseDataCentre(aReader);
  } else {
    return false;
  }
  return true;
}

void ScenarioParser::ParseDataCentre(LineReader& aReader)
{
  const DataCentreName name(aReader.Name("a data centre's name"));
  aReader.Expect("has");
  const std::int64_t count = aReader.Number();
  if (count > kLargestCount) {
    aReader.Fail("at most " + std::to_string(kLargestCount));
  }
  if (aReader.Try("targets of")) {
    ParseTargets(aReader, name, count);
    return;
  }
  if (!aReader.Try("hosts") && !aReader.Try("host")) {
    aReader.Fail("\"hosts\" or \"targets of\"");
  }
  for (std::int64_t i = 1; i <= count && !aReader.Failed(); ++i) {
    SchedulerSettings settings;
    settings.m_entry = EntryId(name.Text() + std::to_string(i));
    settings.m_dataCentre = name;
    settings.m_peerAddress = "peer:" + settings.m_entry.Text();
    m_scenario->m_layout.m_hosts.push_back(std::move(settings));
  }
}

void ScenarioParser::ParseTargets(LineReader& aReader,
                                  const DataCentreName& aDataCentre,
                                  std::int64_t aCount)
{
  Resources capacity;
  capacity.Set(ResourceKind::kProcessors, aReader.Thousandths());
  aReader.Expect("cores");
  capacity.Set(ResourceKind::kMemory, aReader.Memory());
  capacity.Set(ResourceKind::kSlots, aReader.Number());
  aReader.Expect("slots");
  capacity.Set(ResourceKind::kConnections, aReader.Number());
  aReader.Expect("connections");
  if (!aReader.Try(",")) {
    capacity.Set(ResourceKind::kAccelerators, aReader.Number());
    aReader.Expect("accelerators");
    aReader.Expect(",");
  }
  const std::int64_t perRack = std::max<std::int64_t>(1, aReader.Number());
  aReader.Expect("to a rack");
  for (std::int64_t i = 1; i <= aCount && !aReader.Failed(); ++i) {
    TargetListing listing;
    listing.m_id = TargetId(aDataCentre.Text() + "-t" + std::to_string(i));
    listing.m_dataCentre = aDataCentre;
    listing.m_rack = RackName("r" + std::to_string((i - 1) / perRack + 1));
    listing.m_address = listing.m_id.Text();
    listing.m_capacity = capacity;
    m_scenario->m_layout.m_targets.push_back(std::move(listing));
  }
}

bool ScenarioParser::ParseCatalogue(LineReader& aReader)
{
  if (aReader.Try("catalogue")) {
    std::string error;
    const auto catalogue = m_reader(aReader.Name("a file name"), error);
    if (catalogue == nullptr) {
      aReader.Fail("a catalogue that can be read (" + error + ")");
    } else {
      m_catalogue = *catalogue;
    }
  } else if (aReader.Try("weigh waiting")) {
    m_catalogue.m_weights.m_waiting =
      static_cast<double>(aReader.Percent()) / 10000;
    m_catalogue.m_weights.m_packing = 1 - m_catalogue.m_weights.m_waiting;
  } else if (aReader.Try("class")) {
    const std::string name = aReader.Name("a class");
    aReader.Expect("floor");
    const double floor = static_cast<double>(aReader.Percent()) / 10000;
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
      if (name == ToString(static_cast<WorkClass>(i))) {
        m_catalogue.m_classFloors[i] = floor;
      }
    }
  } else if (aReader.Try("team")) {
    ParseTeam(aReader);
  } else if (aReader.Try("customer")) {
    ParseCustomer(aReader);
  } else if (aReader.Try("kind")) {
    ParseKind(aReader);
  } else if (aReader.Try("really")) {
    ParseRealWork(aReader);
  } else {
    return false;
  }
  return true;
}

void ScenarioParser::ParseTeam(LineReader& aReader)
{
  Team team;
  team.m_name = TeamName(aReader.Name("a team's name"));
  aReader.Expect("floor");
  team.m_floor = static_cast<double>(aReader.Percent()) / 10000;
  aReader.Expect("quota");
  team.m_quota = static_cast<double>(aReader.Percent()) / 10000;
  m_catalogue.m_teams.push_back(std::move(team));
}

void ScenarioParser::ParseCustomer(LineReader& aReader)
{
  Customer customer;
  customer.m_name = CustomerName(aReader.Name("a customer's name"));
  customer.m_promised = aReader.Try("is promised a call");
  if (customer.m_promised) {
    customer.m_contact = "the office of " + customer.m_name.Text();
  }
  aReader.Expect("depends on");
  do {
    customer.m_kinds.emplace_back(KindName(aReader));
  } while (aReader.Try(","));
  m_catalogue.m_customers.push_back(std::move(customer));
}

void ScenarioParser::ParseKind(LineReader& aReader)
{
  WorkKind kind;
  kind.m_name = lycheestep::KindName(aReader.Name("a kind's name"));
  kind.m_owner = "owner of " + kind.m_name.Text();
  do {
    ParseKindClause(aReader, kind);
  } while (aReader.Try(","));
  m_catalogue.m_kinds.push_back(std::move(kind));
}

void ScenarioParser::ParseKindClause(LineReader& aReader, WorkKind& aKind)
{
  static const std::map<std::string, WorkClass> kClasses{
    { "urgent", WorkClass::kUrgent },
    { "standard", WorkClass::kStandard },
    { "batch", WorkClass::kBatch }
  };
  static const std::map<std::string, WorkForm> kForms{
    { "request", WorkForm::kRequest },
    { "job", WorkForm::kJob },
    { "gang", WorkForm::kGang },
    { "service", WorkForm::kService }
  };
  if (aReader.Try("of team")) {
    aKind.m_team = TeamName(aReader.Name("a team's name"));
  } else if (aReader.Try("not repeatable")) {
    aKind.m_repeatable = false;
    aKind.m_durable = true;
  } else if (aReader.Try("durable")) {
    aKind.m_durable = true;
  } else if (aReader.Try("checkpointable")) {
    aKind.m_checkpointable = true;
  } else if (aReader.Try("runs")) {
    aKind.m_runTime = aReader.Time();
  } else if (aReader.Try("starts within")) {
    aKind.m_deadline = aReader.Time();
  } else if (aReader.Try("queue of")) {
    aKind.m_queueLimit = static_cast<std::size_t>(aReader.Number());
  } else if (aReader.Try("takes")) {
    aKind.m_demand.Set(ResourceKind::kProcessors, aReader.Thousandths());
    aReader.Expect("cores");
    aKind.m_demand.Set(ResourceKind::kMemory, aReader.Memory());
    aKind.m_demand.Set(ResourceKind::kSlots, 1);
    aKind.m_demand.Set(ResourceKind::kConnections, 1);
  } else {
    const std::string word = aReader.Name("a clause of a kind");
    const auto workClass = kClasses.find(word);
    if (workClass == kClasses.end()) {
      aReader.RejectLast("a clause of a kind");
      return;
    }
    aKind.m_class = workClass->second;
    const auto form = kForms.find(aReader.Name("a form of work"));
    if (form == kForms.end()) {
      aReader.RejectLast("request, job, gang or service");
      return;
    }
    aKind.m_form = form->second;
    if (aReader.Try("of")) {
      aKind.m_tasks = static_cast<int>(aReader.Number());
    }
  }
}

void ScenarioParser::ParseRealWork(LineReader& aReader)
{
  const lycheestep::KindName kind(KindName(aReader));
  RealWork& work = m_scenario->m_realWork[kind];
  do {
    if (aReader.Try("runs")) {
      work.m_least = aReader.Time();
      work.m_most = work.m_least;
      if (aReader.Try("to")) {
        work.m_most = aReader.Time();
      }
    } else if (aReader.Try("uses")) {
      work.m_usagePercent = static_cast<int>(aReader.Percent() / 100);
    } else if (aReader.Try("fails")) {
      work.m_failPercent = static_cast<int>(aReader.Percent() / 100);
    } else {
      aReader.Fail("\"runs\", \"uses\" or \"fails\"");
    }
  } while (aReader.Try(","));
}

bool ScenarioParser::ParseStep(LineReader& aReader)
{
  ScenarioStep step;
  if (aReader.Try("from")) {
    step.m_at = aReader.Time();
    aReader.Expect("to");
    step.m_end = aReader.Time();
    ParseStream(aReader, step);
  } else if (aReader.Try("flood")) {
    ParseFlood(aReader, step);
  } else if (aReader.Try("at")) {
    step.m_at = aReader.Time();
    ParseTimed(aReader, step);
  } else {
    return false;
  }
  step.m_text = m_text;
  m_scenario->m_steps.push_back(std::move(step));
  return true;
}

void ScenarioParser::ParseStream(LineReader& aReader, ScenarioStep& aStep)
{
  aStep.m_verb = StepVerb::kStream;
  aReader.Expect("send");
  aStep.m_name = KindName(aReader);
  // Thousandths, so that slow streams can be written.
  aStep.m_count = aReader.Thousandths();
  aReader.Expect("per second");
  if (aReader.Try("to")) {
    aStep.m_dataCentre = DataCentreName(SideName(aReader));
  }
}

void ScenarioParser::ParseFlood(LineReader& aReader, ScenarioStep& aStep)
{
  aStep.m_verb = StepVerb::kStream;
  aStep.m_name = KindName(aReader);
  const std::int64_t factor = aReader.Factor();
  for (const ScenarioStep& earlier : m_scenario->m_steps) {
    if (earlier.m_verb == StepVerb::kStream && earlier.m_name == aStep.m_name &&
        aStep.m_count == 0) {
      aStep.m_count = earlier.m_count * (factor - 1);
    }
  }
  if (aStep.m_count <= 0) {
    aReader.Fail("an earlier line that sends this kind of work");
  }
  aReader.Expect("from");
  aStep.m_at = aReader.Time();
  aReader.Expect("to");
  aStep.m_end = aReader.Time();
}

void ScenarioParser::ParseTimed(LineReader& aReader, ScenarioStep& aStep)
{
  if (aReader.Try("send")) {
    aStep.m_verb = StepVerb::kSend;
    aStep.m_count = aReader.Number();
    aStep.m_name = KindName(aReader);
    if (aReader.Try("to")) {
      aStep.m_dataCentre = DataCentreName(SideName(aReader));
    }
  } else if (aReader.Try("cancel")) {
    aStep.m_verb = StepVerb::kCancel;
    aStep.m_count = aReader.Number();
    aStep.m_name = KindName(aReader);
  } else if (aReader.Try("pause entry")) {
    aStep.m_verb = StepVerb::kPauseEntry;
    aStep.m_name = EntryName(aReader);
    ReadFor(aReader, aStep, true);
  } else if (aReader.Try("kill entry")) {
    aStep.m_verb = StepVerb::kKillEntry;
    aStep.m_name = EntryName(aReader);
    ReadFor(aReader, aStep, false);
  } else if (aReader.Try("start entry")) {
    aStep.m_verb = StepVerb::kStartEntry;
    aStep.m_name = EntryName(aReader);
  } else if (aReader.Try("stop entry")) {
    aStep.m_verb = StepVerb::kStopEntry;
    aStep.m_name = EntryName(aReader);
    ReadFor(aReader, aStep, false);
  } else if (aReader.Try("platform")) {
    ParsePlatformFault(aReader, aStep);
  } else if (aReader.Try("cut")) {
    aStep.m_verb = StepVerb::kCut;
    aStep.m_name = SideName(aReader);
    aReader.Expect("from");
    aStep.m_other = SideName(aReader);
    ReadFor(aReader, aStep, true);
  } else if (aReader.Try("target")) {
    ParseTargetFault(aReader, aStep);
  } else if (aReader.Try("operator")) {
    ParseOperator(aReader, aStep);
  } else {
    aReader.Fail("send, cancel, pause, kill, start, stop, platform, cut, "
                 "target or operator");
  }
}

void ScenarioParser::ParsePlatformFault(LineReader& aReader,
                                        ScenarioStep& aStep)
{
  if (aReader.Try("down")) {
    aStep.m_verb = StepVerb::kPlatformDown;
  } else if (aReader.Try("slow by")) {
    aStep.m_verb = StepVerb::kPlatformSlow;
    aStep.m_delay = aReader.Time();
  } else if (aReader.Try("loses replies")) {
    aStep.m_verb = StepVerb::kPlatformLoses;
  } else {
    aReader.Fail("\"down\", \"slow by\" or \"loses replies\"");
  }
  ReadFor(aReader, aStep, true);
}

void ScenarioParser::ParseTargetFault(LineReader& aReader, ScenarioStep& aStep)
{
  aStep.m_name = TargetName(aReader);
  if (aReader.Try("dies")) {
    aStep.m_verb = StepVerb::kTargetDies;
    ReadFor(aReader, aStep, false);
  } else if (aReader.Try("leaves by the list alone")) {
    aStep.m_verb = StepVerb::kTargetDelisted;
  } else if (aReader.Try("leaves")) {
    aStep.m_verb = StepVerb::kTargetLeaves;
  } else if (aReader.Try("fails everything")) {
    aStep.m_verb = StepVerb::kTargetFails;
    ReadFor(aReader, aStep, false);
  } else {
    aReader.Fail("\"dies\", \"leaves\" or \"fails everything\"");
  }
}

void ScenarioParser::ParseOperator(LineReader& aReader, ScenarioStep& aStep)
{
  aStep.m_operator = aReader.Name("an operator's name");
  if (aReader.Try("stops")) {
    aStep.m_verb = StepVerb::kStopWork;
    aStep.m_other = KindName(aReader);
  } else if (aReader.Try("starts")) {
    aStep.m_verb = StepVerb::kStartWork;
    aStep.m_other = KindName(aReader);
  } else if (aReader.Try("drains")) {
    aStep.m_verb = StepVerb::kDrainWork;
    aStep.m_other = KindName(aReader);
  } else if (aReader.Try("announces")) {
    aStep.m_verb = StepVerb::kAnnounce;
    aStep.m_other = KindName(aReader);
    aReader.Expect("to everyone promised");
  } else if (aReader.Try("weighs waiting")) {
    aStep.m_verb = StepVerb::kApply;
    aStep.m_count = aReader.Percent();
  } else {
    aReader.Fail("stops, starts, drains, announces or weighs waiting");
  }
  aReader.Expect("at");
  aStep.m_name = EntryName(aReader);
}

bool ScenarioParser::ParseExpectation(LineReader& aReader)
{
  Expectation expectation;
  if (aReader.Try("always")) {
    expectation.m_verb = ExpectationVerb::kAlways;
    aReader.Try("no");
    expectation.m_name = aReader.Name("an invariant");
  } else if (aReader.Try("by")) {
    expectation.m_time = aReader.Time();
    aReader.Expect("all");
    expectation.m_name = KindName(aReader);
    expectation.m_verb = aReader.Try("answered") ? ExpectationVerb::kAllAnswered
                                                 : ExpectationVerb::kAllDone;
    if (expectation.m_verb == ExpectationVerb::kAllDone) {
      aReader.Expect("done");
    }
  } else if (aReader.Try("table writes <=")) {
    expectation.m_verb = ExpectationVerb::kTableWrites;
    expectation.m_bound = aReader.Number();
    aReader.Expect("per second");
  } else if (aReader.Try("peak use >=")) {
    expectation.m_verb = ExpectationVerb::kPeakUse;
    expectation.m_bound = aReader.Percent();
  } else if (aReader.Try("operator")) {
    ParseOperatorExpectation(aReader, expectation);
  } else if (aReader.Try("exactly one of")) {
    expectation.m_verb = ExpectationVerb::kOneWins;
    expectation.m_name = aReader.Name("an operator's name");
    aReader.Expect("and");
    expectation.m_other = aReader.Name("an operator's name");
    aReader.Expect("succeeds");
  } else if (aReader.Try("expect")) {
    ParseKindExpectation(aReader, expectation);
  } else {
    return false;
  }
  expectation.m_text = m_text;
  m_scenario->m_expectations.push_back(std::move(expectation));
  return true;
}

void ScenarioParser::ParseOperatorExpectation(LineReader& aReader,
                                              Expectation& aExpectation)
{
  aExpectation.m_name = aReader.Name("an operator's name");
  if (aReader.Try("succeeds")) {
    aExpectation.m_verb = ExpectationVerb::kOperatorDone;
  } else if (aReader.Try("is refused")) {
    aExpectation.m_verb = ExpectationVerb::kOperatorRefused;
  } else if (aReader.Try("is held until customers are called")) {
    aExpectation.m_verb = ExpectationVerb::kHeldForCalls;
  } else {
    aReader.Fail("\"succeeds\", \"is refused\" or \"is held until customers "
                 "are called\"");
  }
}

void ScenarioParser::ParseKindExpectation(LineReader& aReader,
                                          Expectation& aExpectation)
{
  aExpectation.m_name = KindName(aReader);
  if (aReader.Try("max wait <=")) {
    aExpectation.m_verb = ExpectationVerb::kWait;
    aExpectation.m_time = aReader.Time();
  } else if (aReader.Try("p99 wait <=")) {
    aExpectation.m_verb = ExpectationVerb::kWait;
    aExpectation.m_percentile = 99;
    aExpectation.m_time = aReader.Time();
  } else if (aReader.Try("done >=")) {
    aExpectation.m_verb = ExpectationVerb::kShareDone;
    aExpectation.m_bound = aReader.Percent();
  } else if (aReader.Try("not run <=")) {
    aExpectation.m_verb = ExpectationVerb::kShareNotRun;
    aExpectation.m_bound = aReader.Percent();
  } else if (aReader.Try("unknown <=")) {
    aExpectation.m_verb = ExpectationVerb::kShareUnknown;
    aExpectation.m_bound = aReader.Percent();
  } else if (aReader.Try("without answer <=")) {
    aExpectation.m_verb = ExpectationVerb::kShareNoAnswer;
    aExpectation.m_bound = aReader.Percent();
  } else if (aReader.Try("runs at least")) {
    aExpectation.m_verb = ExpectationVerb::kRunning;
    aExpectation.m_bound = aReader.Number();
    aReader.Expect("tasks at the end");
  } else {
    aReader.Fail("\"max wait <=\", \"p99 wait <=\", \"done >=\", "
                 "\"not run <=\", \"unknown <=\", \"without answer <=\" or "
                 "\"runs at least\"");
  }
}

std::string ScenarioParser::KindName(LineReader& aReader)
{
  std::string name = aReader.Name("a kind of work");
  if (m_catalogue.FindKind(lycheestep::KindName(name)) == nullptr) {
    aReader.RejectLast("a kind of the catalogue");
  }
  return name;
}

std::string ScenarioParser::EntryName(LineReader& aReader)
{
  std::string name = aReader.Name("an entry host");
  if (!IsEntry(name)) {
    aReader.RejectLast("an entry host");
  }
  return name;
}

std::string ScenarioParser::TargetName(LineReader& aReader)
{
  std::string name = aReader.Name("a target");
  if (!IsTarget(name)) {
    aReader.RejectLast("a target");
  }
  return name;
}

std::string ScenarioParser::SideName(LineReader& aReader)
{
  std::string name =
    aReader.Name("a data centre, an entry host, a target or the platform");
  if (name != kPlatformName && !IsEntry(name) && !IsTarget(name) &&
      !IsDataCentre(name)) {
    aReader.RejectLast(
      "a data centre, an entry host, a target or \"platform\"");
  }
  return name;
}

bool ScenarioParser::IsEntry(const std::string& aName) const
{
  const auto& hosts = m_scenario->m_layout.m_hosts;
  return std::any_of(hosts.begin(), hosts.end(), [&aName](const auto& aHost) {
    return aHost.m_entry.Text() == aName;
  });
}

bool ScenarioParser::IsTarget(const std::string& aName) const
{
  const auto& targets = m_scenario->m_layout.m_targets;
  return std::any_of(
    targets.begin(), targets.end(), [&aName](const auto& aTarget) {
      return aTarget.m_id.Text() == aName;
    });
}

bool ScenarioParser::IsDataCentre(const std::string& aName) const
{
  const auto& hosts = m_scenario->m_layout.m_hosts;
  return std::any_of(hosts.begin(), hosts.end(), [&aName](const auto& aHost) {
    return aHost.m_dataCentre.Text() == aName;
  });
}

void ScenarioParser::ReadFor(LineReader& aReader,
                             ScenarioStep& aStep,
                             bool aNeeded)
{
  if (aReader.Try("for")) {
    aStep.m_length = aReader.Time();
  } else if (aNeeded) {
    aReader.Fail("\"for\" and how long");
  }
}

} // namespace lycheestep
