#include "masticpin/manifest/manifest_diff.h"

#include <chrono>
#include <functional>
#include <map>
#include <type_traits>
#include <utility>

namespace masticpin {
namespace {

// Effect of an increase of a value.
enum class IncreaseEffect : std::uint8_t { kStricter, kLooser, kNeutral };

std::string ToText(std::uint64_t number) {
  return std::to_string(number);
}

std::string ToText(const std::vector<KindRef>& calls) {
  std::string text;
  for (const KindRef& call : calls) {
    text.append(text.empty() ? "" : ", ").append(call.service).append("/").append(call.name);
  }
  return text;
}

class Comparison {
 public:
  std::vector<ManifestChange> Run(const Manifest& before, const Manifest& after) {
    this->section = "manifest";
    this->CompareNumber("version", before.Version(), after.Version(), IncreaseEffect::kNeutral);
    this->CompareText("site", before.Site(), after.Site(), ChangeEffect::kNeutral);
    this->CompareSections<ServiceSpec>(
        before.Services(), after.Services(),
        [](const ServiceSpec& spec) { return "service " + spec.name; },
        [this](const ServiceSpec& a, const ServiceSpec& b) { this->CompareService(a, b); });
    this->CompareSections<KindSpec>(
        before.Kinds(), after.Kinds(),
        [](const KindSpec& spec) { return "kind " + spec.service + "/" + spec.name; },
        [this](const KindSpec& a, const KindSpec& b) { this->CompareKind(a, b); });
    return std::move(this->changes);
  }

 private:
  // Pairs the sections of both manifests by name.
  template <typename Spec, typename NameOf, typename ComparePair>
  void CompareSections(std::span<const Spec> before,
                       std::span<const Spec> after,
                       const NameOf& name_of,
                       const ComparePair& compare_pair) {
    std::map<std::string, std::pair<const Spec*, const Spec*>> pairs;
    for (const Spec& spec : before) {
      pairs[name_of(spec)].first = &spec;
    }
    for (const Spec& spec : after) {
      pairs[name_of(spec)].second = &spec;
    }
    for (const auto& [name, pair] : pairs) {
      this->section = name;
      if (pair.second == nullptr) {
        this->Add(ChangeEffect::kStricter, "", "present", "");
      } else if (pair.first == nullptr) {
        this->Add(ChangeEffect::kLooser, "", "", "present");
      } else {
        compare_pair(*pair.first, *pair.second);
      }
    }
  }

  void CompareService(const ServiceSpec& before, const ServiceSpec& after) {
    this->CompareNumber("slots", before.slots, after.slots, IncreaseEffect::kLooser);
    this->CompareNumber("connections", before.connections, after.connections,
                        IncreaseEffect::kLooser);
    // If a shed status is set, a response with this status counts as "not run" and may be retried;
    // otherwise it is the final response.
    if (before.shed_status != after.shed_status) {
      const auto text = [](const std::optional<int>& status) {
        return status ? std::to_string(*status) : std::string();
      };
      ChangeEffect effect = ChangeEffect::kNeutral;
      if (!before.shed_status) {
        effect = ChangeEffect::kLooser;
      } else if (!after.shed_status) {
        effect = ChangeEffect::kStricter;
      }
      this->Add(effect, "shed_status", text(before.shed_status), text(after.shed_status));
    }
  }

  void CompareKind(const KindSpec& before, const KindSpec& after) {
    const auto milliseconds = [](Duration duration) {
      return static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    this->CompareNumber("importance", before.importance, after.importance, IncreaseEffect::kLooser);
    // An idempotent kind may be retried after an unknown outcome.
    this->CompareFlag("idempotent", before.idempotent, after.idempotent, "yes", "no",
                      IncreaseEffect::kLooser);
    this->CompareNumber("deadline_ms", milliseconds(before.deadline), milliseconds(after.deadline),
                        IncreaseEffect::kLooser);
    this->CompareNumber("attempts", before.attempts, after.attempts, IncreaseEffect::kLooser);
    this->CompareNumber("caller_tries", before.caller_tries, after.caller_tries,
                        IncreaseEffect::kLooser);
    this->CompareFlag("key", before.key_required, after.key_required, "required", "optional",
                      IncreaseEffect::kStricter);
    this->CompareText("calls", ToText(before.calls), ToText(after.calls), ChangeEffect::kNeutral);
    // A higher cost leaves fewer attempts for retries.
    this->CompareNumber("cost (computed)", before.cost, after.cost, IncreaseEffect::kStricter);
  }

  void CompareNumber(std::string_view key,
                     std::uint64_t before,
                     std::uint64_t after,
                     IncreaseEffect increase_effect) {
    if (before != after) {
      this->Add(EffectOf(after > before, increase_effect), key, ToText(before), ToText(after));
    }
  }

  void CompareFlag(std::string_view key,
                   bool before,
                   bool after,
                   std::string_view if_true,
                   std::string_view if_false,
                   IncreaseEffect increase_effect) {
    if (before != after) {
      this->Add(EffectOf(after, increase_effect), key, std::string(before ? if_true : if_false),
                std::string(after ? if_true : if_false));
    }
  }

  void CompareText(std::string_view key,
                   const std::string& before,
                   const std::string& after,
                   ChangeEffect effect) {
    if (before != after) {
      this->Add(effect, key, before, after);
    }
  }

  static ChangeEffect EffectOf(bool grew, IncreaseEffect increase_effect) {
    if (increase_effect == IncreaseEffect::kNeutral) {
      return ChangeEffect::kNeutral;
    }
    return grew == (increase_effect == IncreaseEffect::kStricter) ? ChangeEffect::kStricter
                                                                  : ChangeEffect::kLooser;
  }

  void Add(ChangeEffect effect, std::string_view key, std::string before, std::string after) {
    this->changes.push_back(
        {effect, this->section, std::string(key), std::move(before), std::move(after)});
  }

  std::string section;
  std::vector<ManifestChange> changes;
};

}  // namespace

std::vector<ManifestChange> ManifestDiff::Compare(const Manifest& before, const Manifest& after) {
  return Comparison().Run(before, after);
}

std::string_view ChangeEffectName(ChangeEffect effect) {
  switch (effect) {
    case ChangeEffect::kStricter:
      return "stricter";
    case ChangeEffect::kLooser:
      return "looser";
    case ChangeEffect::kNeutral:
      return "neutral";
  }
  return "neutral";
}

}  // namespace masticpin
