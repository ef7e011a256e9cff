#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

#include "masticpin/manifest/manifest_parser.h"

namespace masticpin {
namespace {

Ref<const Manifest> Load(const std::string& site) {
  const std::filesystem::path root = std::filesystem::path(__FILE__).parent_path() / "../..";
  const std::filesystem::path path = root / "deploy" / site / "manifest.ini";
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const ManifestParseResult result = ManifestParser::Parse(text, path.string());
  for (const ManifestProblem& problem : result.problems) {
    ADD_FAILURE() << FormatProblem(problem);
  }
  return result.manifest;
}

void AddServices(const Manifest& manifest, const KindRef& ref, std::set<std::string>& services) {
  services.insert(ref.service);
  for (const KindRef& call : manifest.FindKind(ref.service, ref.name)->calls) {
    AddServices(manifest, call, services);
  }
}

// Returns the services that are involved in one action, including those of its inner calls.
std::set<std::string> ServicesOf(const Manifest& manifest, const KindRef& ref) {
  std::set<std::string> services;
  AddServices(manifest, ref, services);
  return services;
}

void CheckServices(const Manifest& manifest,
                   const std::map<std::string, std::pair<unsigned, unsigned>>& expected) {
  EXPECT_EQ(manifest.Services().size(), expected.size());
  for (const auto& [name, expected_limits] : expected) {
    const ServiceSpec* service = manifest.FindService(name);
    ASSERT_NE(service, nullptr) << name;
    EXPECT_EQ(service->slots, expected_limits.first) << name;
    EXPECT_EQ(service->connections, expected_limits.second) << name;
  }
}

void CheckKinds(const Manifest& manifest) {
  for (const KindSpec& kind : manifest.Kinds()) {
    const std::string name = kind.service + "/" + kind.name;
    EXPECT_TRUE(kind.key_required) << name;
    EXPECT_EQ(kind.attempts, 3 * kind.cost) << name;
    EXPECT_EQ(kind.caller_tries, 10U) << name;
    EXPECT_GE(kind.deadline, std::chrono::seconds(1)) << name;
    EXPECT_LE(kind.deadline, std::chrono::seconds(5)) << name;
    // No call chain may lead back to the service of its caller: the two services could then
    // deadlock, each waiting for slots of the other.
    for (const KindRef& call : kind.calls) {
      for (const KindSpec& other : manifest.Kinds()) {
        if (other.service == call.service) {
          EXPECT_FALSE(ServicesOf(manifest, {other.service, other.name}).contains(kind.service))
              << name << " and " << other.service << "/" << other.name;
        }
      }
    }
  }
}

// Guards against a deployed manifest that differs from the workload table of the design, or whose
// rules contradict the design.
TEST(DeployedManifestsTest, RigaMatchesTheDesign) {
  const Ref<const Manifest> manifest = Load("riga");
  ASSERT_NE(manifest, nullptr);
  EXPECT_EQ(manifest->Site(), "riga");
  CheckServices(
      *manifest,
      {{"almanac", {60, 500}}, {"ballot", {80, 600}}, {"archive", {80, 600}}, {"dues", {10, 170}}});
  CheckKinds(*manifest);
  EXPECT_GE(ServicesOf(*manifest, {"ballot", "vote"}).size(), 3U);
  EXPECT_GE(ServicesOf(*manifest, {"archive", "petition"}).size(), 3U);
  for (const KindSpec& kind : manifest->Kinds()) {
    if (kind.service == "almanac") {
      EXPECT_LT(kind.importance, manifest->FindKind("dues", "payment")->importance);
      EXPECT_LT(kind.importance, manifest->FindKind("ballot", "vote")->importance);
    }
  }
}

// Guards against the same errors in the manifest of the other site.
TEST(DeployedManifestsTest, KanoMatchesTheDesign) {
  const Ref<const Manifest> manifest = Load("kano");
  ASSERT_NE(manifest, nullptr);
  EXPECT_EQ(manifest->Site(), "kano");
  CheckServices(*manifest, {{"fibre-registry", {170, 1100}},
                            {"permits", {220, 1400}},
                            {"inspections", {170, 1100}},
                            {"levies", {25, 250}}});
  CheckKinds(*manifest);
  EXPECT_GE(ServicesOf(*manifest, {"permits", "certificate"}).size(), 3U);
  for (const KindRef& charged : {KindRef{"permits", "permit"}, KindRef{"levies", "levy"}}) {
    EXPECT_GT(manifest->FindKind(charged.service, charged.name)->importance,
              manifest->FindKind("fibre-registry", "grade")->importance);
  }
}

}  // namespace
}  // namespace masticpin
