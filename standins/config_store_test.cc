#include "standins/config_store.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"
#include "standins/instance_list.h"

namespace masticpin::standins {
namespace {

std::string Manifest(int version) {
  return "[manifest]\nversion=" + std::to_string(version) + "\n";
}

TEST(ConfigStoreTest, UsesVersionOfManifest) {
  FakeClock clock;
  ConfigStore store(clock, 10);
  EXPECT_EQ(store.Read("manifest").status, ConfigStore::ReadStatus::kAbsent);
  store.Publish("manifest", Manifest(7));
  store.Publish("manifest", Manifest(9));
  const auto result = store.Read("manifest");
  EXPECT_EQ(result.status, ConfigStore::ReadStatus::kFound);
  EXPECT_EQ(result.document.version, 9U);
  EXPECT_EQ(result.document.text, Manifest(9));
}

TEST(ConfigStoreTest, FaultsHideOrRevertValues) {
  FakeClock clock;
  ConfigStore store(clock, 100);
  store.Publish("manifest", Manifest(1));
  store.Publish("manifest", Manifest(2));
  store.SetFault(ConfigFault::kStale);
  store.Publish("manifest", Manifest(3));
  EXPECT_EQ(store.Read("manifest").document.version, 2U);
  store.SetFault(ConfigFault::kFirstVersion);
  EXPECT_EQ(store.Read("manifest").document.version, 1U);
  store.SetFault(ConfigFault::kDown);
  EXPECT_EQ(store.Read("manifest").status, ConfigStore::ReadStatus::kDown);
  store.SetFault(ConfigFault::kNone);
  EXPECT_EQ(store.Read("manifest").document.version, 3U);
}

TEST(ConfigStoreTest, RefusesCallsAboveRate) {
  FakeClock clock;
  ConfigStore store(clock, 2);
  store.Publish("manifest", Manifest(1));
  EXPECT_EQ(store.Read("manifest").status, ConfigStore::ReadStatus::kFound);
  EXPECT_EQ(store.Read("manifest").status, ConfigStore::ReadStatus::kFound);
  EXPECT_EQ(store.Read("manifest").status, ConfigStore::ReadStatus::kTooManyCalls);
  clock.Advance(std::chrono::seconds(1));
  EXPECT_EQ(store.Read("manifest").status, ConfigStore::ReadStatus::kFound);
  EXPECT_EQ(store.Calls(), 4U);
  EXPECT_EQ(store.RefusedCalls(), 1U);
}

TEST(InstanceListTest, ChangesAreVisibleAfterLag) {
  FakeClock clock;
  const nlohmann::json initial = {{{"name", "a"}, {"state", "live"}},
                                  {{"name", "b"}, {"state", "live"}}};
  InstanceList list(clock, initial, std::chrono::seconds(2));
  EXPECT_FALSE(list.SetState("c", "gone"));
  EXPECT_TRUE(list.SetState("a", "leaving"));
  EXPECT_TRUE(list.SetState("b", "gone"));
  EXPECT_EQ(list.Visible(), initial);
  clock.Advance(std::chrono::seconds(2));
  const nlohmann::json expected = {{{"name", "a"}, {"state", "leaving"}}};
  EXPECT_EQ(list.Visible(), expected);
}

}  // namespace
}  // namespace masticpin::standins
