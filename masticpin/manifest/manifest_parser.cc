#include "masticpin/manifest/manifest_parser.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "masticpin/base/ini_document.h"
#include "masticpin/base/ini_section_reader.h"

namespace masticpin {
namespace {

// The limits below only reject values that are certainly errors; they are more than ten times the
// largest values in the design.
constexpr std::uint64_t kMaxSlots = 100'000;
constexpr std::uint64_t kMaxConnections = 100'000;
// The maximum deadline also bounds the duration of a planned shutdown.
constexpr std::uint64_t kMaxDeadlineMs = 600'000;
constexpr std::uint64_t kMaxAttempts = 1'000'000;
constexpr std::uint64_t kMaxCallerTries = 1'000;
constexpr std::uint64_t kMaxImportance = 9;
// Only status codes 4xx and 5xx can signal a shed request.
constexpr std::uint64_t kMinShedStatus = 400;
constexpr std::uint64_t kMaxShedStatus = 599;

constexpr std::string_view kServicePrefix = "service ";
constexpr std::string_view kKindPrefix = "kind ";
constexpr std::string_view kAllowedSections =
    "allowed sections: [manifest], [service NAME], [kind SERVICE/NAME]";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(' ');
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::optional<KindRef> ParseKindRef(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view service = text.substr(0, slash);
  const std::string_view name = text.substr(slash + 1);
  if (!IsValidName(service) || !IsValidName(name)) {
    return std::nullopt;
  }
  return KindRef{std::string(service), std::string(name)};
}

std::uint32_t SaturatingAdd(std::uint32_t a, std::uint32_t b) {
  const std::uint32_t sum = a + b;
  return sum < a ? std::numeric_limits<std::uint32_t>::max() : sum;
}

// One [kind] section with its lines in the text and its edges in the call graph.
struct ParsedKind {
  KindSpec spec;
  int line = 0;
  // 0 if the key is missing or invalid.
  int attempts_line = 0;
  int calls_line = 0;
  // Indices of the kinds that are called, as far as they exist.
  std::vector<std::size_t> callees;
  std::vector<std::size_t> callers;
};

class Validator {
 public:
  explicit Validator(std::string_view file_name) : problems(file_name) {}

  ManifestParseResult Run(std::string_view text) {
    const std::optional<IniDocument> document =
        ReadIniDocument(text, ManifestParser::kMaxTextBytes, this->problems);
    if (document) {
      this->ReadSections(*document);
      this->ResolveCalls();
      this->ComputeCosts();
    }
    ManifestParseResult result;
    if (this->problems.Empty()) {
      std::vector<KindSpec> specs;
      for (ParsedKind& kind : this->kinds) {
        specs.push_back(std::move(kind.spec));
      }
      result.manifest = Ref<const Manifest>(new Manifest(
          this->version, std::move(this->site), std::move(this->services), std::move(specs)));
    }
    result.problems = this->problems.Take();
    return result;
  }

 private:
  void ReadSections(const IniDocument& document) {
    bool manifest_seen = false;
    for (const IniSection& section : document.sections) {
      const std::string_view name = section.name;
      if (name == "manifest") {
        manifest_seen = true;
        this->ReadManifest(section);
      } else if (name.starts_with(kServicePrefix)) {
        this->ReadService(section, name.substr(kServicePrefix.size()));
      } else if (name.starts_with(kKindPrefix)) {
        this->ReadKind(section, name.substr(kKindPrefix.size()));
      } else {
        this->problems.Add(section.line, name, "",
                           "unknown section; " + std::string(kAllowedSections));
      }
    }
    if (!manifest_seen) {
      this->problems.Add(0, "manifest", "", "missing section; it holds version and site");
    }
    // With an empty manifest the whole fleet would respond "not found" to every request.
    if (this->services.empty()) {
      this->problems.Add(0, "", "", "a manifest has at least one section [service NAME]");
    }
  }

  void ReadManifest(const IniSection& section) {
    IniSectionReader reader(section, this->problems);
    this->version =
        reader.TakeNumber("version", 1, std::numeric_limits<std::uint64_t>::max()).value_or(0);
    this->site = reader.TakeName("site").value_or("");
    reader.ReportUnknownKeys();
  }

  void ReadService(const IniSection& section, std::string_view name) {
    if (!IsValidName(name)) {
      this->problems.Add(section.line, section.name, "",
                         "the name of a service must be " + std::string(kAllowedNames));
    }
    ServiceSpec spec;
    spec.name = name;
    IniSectionReader reader(section, this->problems);
    spec.slots = static_cast<std::uint32_t>(reader.TakeNumber("slots", 1, kMaxSlots).value_or(0));
    spec.connections = static_cast<std::uint32_t>(
        reader.TakeNumber("connections", 1, kMaxConnections).value_or(0));
    if (const auto status = reader.TakeNumber("shed_status", kMinShedStatus, kMaxShedStatus,
                                              IniPresence::kOptional)) {
      spec.shed_status = static_cast<int>(*status);
    }
    reader.ReportUnknownKeys();
    this->services.push_back(std::move(spec));
  }

  void ReadKind(const IniSection& section, std::string_view name) {
    ParsedKind kind;
    kind.line = section.line;
    const std::optional<KindRef> ref = ParseKindRef(name);
    if (!ref) {
      this->problems.Add(
          section.line, section.name, "",
          "must be [kind SERVICE/NAME], each name with " + std::string(kAllowedNames));
    }
    IniSectionReader reader(section, this->problems);
    KindSpec& spec = kind.spec;
    spec.importance =
        static_cast<std::uint8_t>(reader.TakeNumber("importance", 0, kMaxImportance).value_or(0));
    const std::optional<bool> idempotent = reader.TakeChoice("idempotent", "yes", "no");
    spec.deadline =
        std::chrono::milliseconds(reader.TakeNumber("deadline_ms", 1, kMaxDeadlineMs).value_or(0));
    const auto attempts = reader.TakeNumber("attempts", 1, kMaxAttempts);
    spec.caller_tries = static_cast<std::uint32_t>(
        reader.TakeNumber("caller_tries", 1, kMaxCallerTries).value_or(0));
    const std::optional<bool> key_required = reader.TakeChoice("key", "required", "optional");
    const IniEntry* calls = reader.TakeEntry("calls", IniPresence::kOptional);
    if (calls != nullptr) {
      kind.calls_line = calls->line;
      this->ReadCalls(*calls, reader, spec.calls);
    }
    if (attempts) {
      spec.attempts = static_cast<std::uint32_t>(*attempts);
      kind.attempts_line = reader.TakeEntry("attempts", IniPresence::kOptional)->line;
    }
    spec.idempotent = idempotent.value_or(false);
    spec.key_required = key_required.value_or(true);
    // Without a key a retried request cannot be recognized and would run twice.
    if (!spec.idempotent && idempotent && !spec.key_required) {
      reader.Report(*reader.TakeEntry("key", IniPresence::kOptional),
                    "must be required for a kind that is not idempotent");
    }
    reader.ReportUnknownKeys();
    if (ref) {
      spec.service = ref->service;
      spec.name = ref->name;
      // Duplicate sections were reported by the INI parser; the first one is used.
      if (this->index.emplace(*ref, this->kinds.size()).second) {
        this->kinds.push_back(std::move(kind));
      }
    }
  }

  void ReadCalls(const IniEntry& entry, IniSectionReader& reader, std::vector<KindRef>& calls) {
    std::string_view rest = entry.value;
    for (bool more = true; more;) {
      const std::size_t comma = rest.find(',');
      const std::string_view item = Trim(rest.substr(0, comma));
      if (std::optional<KindRef> ref = ParseKindRef(item)) {
        calls.push_back(std::move(*ref));
      } else {
        reader.Report(entry, "must be a list SERVICE/NAME, ... of names with " +
                                 std::string(kAllowedNames) + ", not " + QuoteValue(item));
      }
      more = comma != std::string_view::npos;
      rest.remove_prefix(more ? comma + 1 : rest.size());
    }
  }

  // Checks that the services and kinds named in the sections exist, and builds the call graph.
  void ResolveCalls() {
    std::vector<std::string_view> names;
    for (const ServiceSpec& service : this->services) {
      names.push_back(service.name);
    }
    std::sort(names.begin(), names.end());
    const auto is_service = [&](std::string_view name) {
      return std::binary_search(names.begin(), names.end(), name);
    };
    for (std::size_t caller = 0; caller < this->kinds.size(); ++caller) {
      ParsedKind& kind = this->kinds[caller];
      if (!is_service(kind.spec.service)) {
        this->problems.Add(
            kind.line, SectionOf(kind), "",
            "missing service; a section [service " + kind.spec.service + "] must exist");
      }
      for (const KindRef& ref : kind.spec.calls) {
        const auto callee = this->index.find(ref);
        if (callee != this->index.end()) {
          this->CheckIdempotentCalls(kind, this->kinds[callee->second]);
          kind.callees.push_back(callee->second);
          this->kinds[callee->second].callers.push_back(caller);
        } else if (!is_service(ref.service)) {
          this->problems.Add(kind.calls_line, SectionOf(kind), "calls",
                             "missing service; a section [service " + ref.service + "] must exist");
        } else {
          this->problems.Add(
              kind.calls_line, SectionOf(kind), "calls",
              "missing kind; a section [kind " + ref.service + "/" + ref.name + "] must exist");
        }
      }
    }
  }

  // An idempotent kind may run more than once, and its inner calls with it, so they must be
  // idempotent too.
  void CheckIdempotentCalls(const ParsedKind& kind, const ParsedKind& callee) {
    if (kind.spec.idempotent && !callee.spec.idempotent) {
      this->problems.Add(kind.calls_line, SectionOf(kind), "calls",
                         "an idempotent kind must not call " + callee.spec.service + "/" +
                             callee.spec.name + ", which is not idempotent");
    }
  }

  // Computes the costs bottom-up with Kahn's algorithm. Not recursive, because a call chain in a
  // manifest may be longer than the stack allows.
  void ComputeCosts() {
    std::vector<std::size_t> unresolved_callees(this->kinds.size());
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < this->kinds.size(); ++i) {
      unresolved_callees[i] = this->kinds[i].callees.size();
      if (unresolved_callees[i] == 0) {
        ready.push_back(i);
      }
    }
    while (!ready.empty()) {
      const std::size_t current = ready.back();
      ready.pop_back();
      ParsedKind& kind = this->kinds[current];
      for (const std::size_t callee : kind.callees) {
        kind.spec.cost = SaturatingAdd(kind.spec.cost, this->kinds[callee].spec.cost);
      }
      this->CheckAttempts(kind);
      for (const std::size_t caller : kind.callers) {
        if (--unresolved_callees[caller] == 0) {
          ready.push_back(caller);
        }
      }
    }
    this->ReportCycles(unresolved_callees);
  }

  void CheckAttempts(const ParsedKind& kind) {
    if (kind.attempts_line != 0 && kind.spec.attempts < kind.spec.cost) {
      this->problems.Add(kind.attempts_line, SectionOf(kind), "attempts",
                         "must be at least " + std::to_string(kind.spec.cost) +
                             ", the dispatches of the cheapest complete call tree");
    }
  }

  // Every kind that still has unresolved callees calls another such kind, so following these calls
  // ends in a cycle. Each cycle that is found this way is reported once.
  void ReportCycles(const std::vector<std::size_t>& unresolved_callees) {
    constexpr std::size_t kNotVisited = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> visited_from(this->kinds.size(), kNotVisited);
    for (std::size_t start = 0; start < this->kinds.size(); ++start) {
      std::vector<std::size_t> path;
      std::size_t current = start;
      while (unresolved_callees[current] > 0 && visited_from[current] == kNotVisited) {
        visited_from[current] = start;
        path.push_back(current);
        const auto& callees = this->kinds[current].callees;
        current = *std::find_if(callees.begin(), callees.end(),
                                [&](std::size_t callee) { return unresolved_callees[callee] > 0; });
      }
      const auto entry = std::find(path.begin(), path.end(), current);
      if (entry != path.end()) {
        this->ReportCycle({entry, path.end()});
      }
    }
  }

  void ReportCycle(const std::vector<std::size_t>& cycle) {
    // A longer path would not help to find the erroneous call.
    constexpr std::size_t kMaxListed = 20;
    std::string path;
    for (std::size_t i = 0; i < std::min(cycle.size(), kMaxListed); ++i) {
      const KindSpec& spec = this->kinds[cycle[i]].spec;
      path += spec.service + "/" + spec.name + " -> ";
    }
    const ParsedKind& first = this->kinds[cycle.front()];
    path += cycle.size() > kMaxListed ? "..." : first.spec.service + "/" + first.spec.name;
    this->problems.Add(first.calls_line, SectionOf(first), "calls",
                       "cycle; a kind must not call itself, not even indirectly: " + path);
  }

  static std::string SectionOf(const ParsedKind& kind) {
    return std::string(kKindPrefix) + kind.spec.service + "/" + kind.spec.name;
  }

  IniProblemList problems;
  std::uint64_t version = 0;
  std::string site;
  std::vector<ServiceSpec> services;
  std::vector<ParsedKind> kinds;
  std::map<KindRef, std::size_t> index;
};

}  // namespace

ManifestParseResult ManifestParser::Parse(std::string_view text, std::string_view file_name) {
  return Validator(file_name).Run(text);
}

std::string ManifestParser::Format(const Manifest& manifest) {
  std::string text = "[manifest]\nversion = " + std::to_string(manifest.Version()) +
                     "\nsite = " + manifest.Site() + "\n";
  for (const ServiceSpec& service : manifest.Services()) {
    text += "\n[service " + service.name + "]\nslots = " + std::to_string(service.slots) +
            "\nconnections = " + std::to_string(service.connections) + "\n";
    if (service.shed_status) {
      text += "shed_status = " + std::to_string(*service.shed_status) + "\n";
    }
  }
  for (const KindSpec& kind : manifest.Kinds()) {
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(kind.deadline);
    text += "\n[kind " + kind.service + "/" + kind.name +
            "]\nimportance = " + std::to_string(kind.importance) +
            "\nidempotent = " + (kind.idempotent ? "yes" : "no") +
            "\ndeadline_ms = " + std::to_string(deadline.count()) +
            "\nattempts = " + std::to_string(kind.attempts) +
            "\ncaller_tries = " + std::to_string(kind.caller_tries) +
            "\nkey = " + (kind.key_required ? "required" : "optional") + "\n";
    // One call per line, because inih limits the length of a line.
    std::string_view separator = "calls = ";
    for (const KindRef& call : kind.calls) {
      text.append(separator).append(call.service).append("/").append(call.name);
      separator = ",\n    ";
    }
    text += kind.calls.empty() ? "" : "\n";
  }
  return text;
}

}  // namespace masticpin
