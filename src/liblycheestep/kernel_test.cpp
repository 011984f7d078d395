#include "lycheestep/kernel.h"

#include <gmock/gmock.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lycheestep/control_thread.h"
#include "lycheestep/platform_client.h"

namespace lycheestep {
namespace {

using Journal = std::vector<std::string>;

class RecordingService : public Service
{
public:
  RecordingService(std::string aName, Journal& aJournal, bool aFails = false)
    : m_name(std::move(aName))
    , m_journal(aJournal)
    , m_fails(aFails)
  {
  }
  std::string Name() const override { return m_name; }
  std::error_code Start(Kernel& /*aKernel*/) override
  {
    m_journal.push_back("start " + m_name);
    return m_fails ? std::make_error_code(std::errc::address_in_use)
                   : std::error_code();
  }
  void Stop() override { m_journal.push_back("stop " + m_name); }

private:
  std::string m_name;
  Journal& m_journal;
  bool m_fails;
};

TEST(KernelTest, StartsInOrderAndStopsInReverse)
{
  Journal journal;
  Kernel kernel;
  kernel.Register(std::make_unique<RecordingService>("a", journal));
  kernel.Register(std::make_unique<RecordingService>("b", journal));
  ASSERT_FALSE(kernel.Start());
  kernel.Stop();
  EXPECT_EQ(journal, (Journal{ "start a", "start b", "stop b", "stop a" }));
}

TEST(KernelTest, StopsWhatRunsWhenAServiceFails)
{
  Journal journal;
  Kernel kernel;
  kernel.Register(std::make_unique<RecordingService>("a", journal));
  kernel.Register(std::make_unique<RecordingService>("b", journal, true));
  EXPECT_EQ(kernel.Start(), std::errc::address_in_use);
  EXPECT_EQ(kernel.FailedService(), "b");
  EXPECT_EQ(journal, (Journal{ "start a", "start b", "stop a" }));
}

TEST(KernelTest, FindsByNameAndInterface)
{
  Journal journal;
  Kernel kernel;
  kernel.Register(std::make_unique<RecordingService>("a", journal));
  EXPECT_NE(kernel.Find<RecordingService>("a"), nullptr);
  EXPECT_EQ(kernel.Find<PlatformClient>("a"), nullptr);
  EXPECT_EQ(kernel.Find<Service>("c"), nullptr);
}

TEST(EventQueueTest, RefusesWhenFullAndWhenClosed)
{
  EventQueue queue(1);
  EXPECT_TRUE(queue.TryPush(TimePassed{}));
  EXPECT_FALSE(queue.TryPush(TimePassed{}));
  std::thread blocked([&queue] { EXPECT_TRUE(queue.Push(StopRequested{})); });
  std::vector<Event> events;
  while (events.size() < 2) {
    queue.PopAll(TimePoint::max(), events);
  }
  blocked.join();
  EXPECT_TRUE(std::holds_alternative<StopRequested>(events[1]));
  queue.Close();
  EXPECT_FALSE(queue.Push(TimePassed{}));
}

// Reads the host list at each TimePassed and completes a stop at once.
class FakeCore : public DecisionCore
{
public:
  void Handle(const Event& aEvent,
              TimePoint aNow,
              ActionList& aActions) override
  {
    if (std::holds_alternative<TimePassed>(aEvent)) {
      m_next = aNow + std::chrono::hours(1);
      aActions.emplace_back(FetchHostList{});
    }
    if (std::holds_alternative<StopRequested>(aEvent)) {
      aActions.emplace_back(StopCompleted{});
    }
  }
  TimePoint NextWakeup() const override { return m_next; }
  bool IsReady() const override { return true; }

private:
  TimePoint m_next{};
};

class MockPlatform
  : public Service
  , public PlatformClient
{
public:
  std::string Name() const override { return "platform"; }
  std::error_code Start(Kernel& /*aKernel*/) override { return {}; }
  void Stop() override {}
  MOCK_METHOD(void, Transact, (TransactTable), (override));
  MOCK_METHOD(void, Read, (ReadTable), (override));
  MOCK_METHOD(void, FetchHosts, (), (override));
};

TEST(ControlThreadTest, WakesUpDispatchesAndStops)
{
  Kernel kernel;
  auto platform = std::make_unique<MockPlatform>();
  EXPECT_CALL(*platform, FetchHosts()).Times(1);
  kernel.Register(std::move(platform));
  kernel.Register(
    std::make_unique<ControlThread>(std::make_unique<FakeCore>(), 16));
  auto* control = kernel.Find<ControlThread>("control");
  ASSERT_FALSE(kernel.Start());
  control->RequestStop();
  EXPECT_FALSE(control->IsReady());
  EXPECT_TRUE(control->WaitForStop(std::chrono::minutes(1)));
  kernel.Stop();
}

} // namespace
} // namespace lycheestep
