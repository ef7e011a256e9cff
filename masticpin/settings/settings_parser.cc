#include "masticpin/settings/settings_parser.h"

#include <algorithm>
#include <array>
#include <utility>

#include "masticpin/base/ini_document.h"
#include "masticpin/base/ini_section_reader.h"

namespace masticpin {
namespace {

// Stores a value; returns false if it is not allowed.
using ApplyFunction = bool (*)(NodeSettings&, std::string_view);

struct SettingsKey {
  std::string_view section;
  std::string_view name;
  // Nothing when the key is required.
  std::optional<std::string_view> default_value;
  // Completes the sentence "must be ...".
  std::string_view allowed;
  std::string_view doc;
  ApplyFunction apply;
  // The value of a secret key is not repeated in messages.
  bool secret = false;
};

template <std::string NodeSettings::*kMember>
bool ApplyName(NodeSettings& settings, std::string_view value) {
  settings.*kMember = value;
  return IsValidName(value);
}

template <SocketAddress NodeSettings::*kMember>
bool ApplyAddress(NodeSettings& settings, std::string_view value) {
  const std::optional<SocketAddress> address = SocketAddress::Parse(value);
  settings.*kMember = address.value_or(SocketAddress());
  return address.has_value();
}

// The text form of a CURVE key; see ZeroMQ RFC 32.
template <std::string NodeSettings::*kMember>
bool ApplyKey(NodeSettings& settings, std::string_view value) {
  constexpr std::size_t kZ85KeyLength = 40;
  constexpr std::string_view kZ85 =
      "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
  settings.*kMember = value;
  return value.empty() ||
         (value.size() == kZ85KeyLength && value.find_first_not_of(kZ85) == std::string_view::npos);
}

bool ApplyPlaintext(NodeSettings& settings, std::string_view value) {
  settings.plaintext = value == "yes";
  return value == "yes" || value == "no";
}

bool ApplyLogLevel(NodeSettings& settings, std::string_view value) {
  constexpr std::array<std::string_view, 7> kLevels = {"trace", "debug",    "info", "warning",
                                                       "error", "critical", "off"};
  settings.log_level = value;
  return std::find(kLevels.begin(), kLevels.end(), value) != kLevels.end();
}

bool ApplyLogFile(NodeSettings& settings, std::string_view value) {
  settings.log_file = value;
  return true;
}

constexpr std::string_view kAllowedAddresses =
    "an IP address and a port such as 192.0.2.1:8080 or [2001:db8::1]:8080, without host names, "
    "0.0.0.0, :: and port 0";
constexpr std::string_view kAllowedKeys = "a CURVE key in Z85 (40 characters)";

// All keys of the settings file.
const std::array<SettingsKey, 13> kKeys = {{
    {"node", "name", std::nullopt, kAllowedNames,
     "Name of the instance. It must be unique in the deployment, because action keys name the "
     "instance that issued them.",
     &ApplyName<&NodeSettings::name>},
    {"node", "service", std::nullopt, kAllowedNames,
     "Service of the upstream, as it is named in the manifest.",
     &ApplyName<&NodeSettings::service>},
    {"node", "zone", std::nullopt, kAllowedNames, "Availability zone of the instance.",
     &ApplyName<&NodeSettings::zone>},
    {"node", "http_address", std::nullopt, kAllowedAddresses,
     "Address at which the node accepts callers and the upstream's own calls.",
     &ApplyAddress<&NodeSettings::http_address>},
    {"node", "peer_address", std::nullopt, kAllowedAddresses,
     "Address at which the node accepts other nodes.", &ApplyAddress<&NodeSettings::peer_address>},
    {"node", "upstream_address", std::nullopt, kAllowedAddresses,
     "Address of the upstream's HTTP server.", &ApplyAddress<&NodeSettings::upstream_address>},
    {"node", "platform_address", std::nullopt, kAllowedAddresses,
     "Address of the configuration service and the list of instances.",
     &ApplyAddress<&NodeSettings::platform_address>},
    {"node", "document", "manifest", kAllowedNames,
     "Name of the document of the configuration service that holds the manifest.",
     &ApplyName<&NodeSettings::document>},
    {"peers", "plaintext", "no", "yes or no",
     "Whether messages between nodes are sent without encryption and authentication. `yes` is "
     "allowed only when `peer_address` is a loopback address.",
     &ApplyPlaintext},
    {"peers", "public_key", "", kAllowedKeys,
     "Public key of the node. Required, unless `plaintext = yes`.",
     &ApplyKey<&NodeSettings::public_key>},
    {"peers", "secret_key", "", kAllowedKeys,
     "Secret key that belongs to `public_key`. Required, unless `plaintext = yes`.",
     &ApplyKey<&NodeSettings::secret_key>, true},
    {"log", "level", "info", "trace, debug, info, warning, error, critical or off",
     "Least severe level that is logged.", &ApplyLogLevel},
    {"log", "file", "", "a path", "File to which the log is appended. Empty: standard error.",
     &ApplyLogFile},
}};

bool IsKnownSection(std::string_view section) {
  return std::any_of(kKeys.begin(), kKeys.end(),
                     [&](const SettingsKey& key) { return key.section == section; });
}

class Validator {
 public:
  explicit Validator(std::string_view file_name) : problems(file_name) {}

  SettingsParseResult Run(std::string_view text) {
    const std::optional<IniDocument> document =
        ReadIniDocument(text, SettingsParser::kMaxTextBytes, this->problems);
    if (document) {
      this->ReadSections(*document);
    }
    // The rules between keys would only repeat the problems of the single keys.
    if (this->problems.Empty()) {
      this->CheckKeys(*document);
      this->CheckAddresses(*document);
    }
    SettingsParseResult result;
    if (this->problems.Empty()) {
      result.settings = std::move(this->settings);
    }
    result.problems = this->problems.Take();
    return result;
  }

 private:
  void ReadSections(const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      if (!IsKnownSection(section.name)) {
        this->problems.Add(section.line, section.name, "",
                           "unknown section; allowed sections: [node], [peers], [log]");
      }
    }
    for (const std::string_view name : {"node", "peers", "log"}) {
      const auto& sections = document.sections;
      const auto found =
          std::find_if(sections.begin(), sections.end(),
                       [&](const IniSection& section) { return section.name == name; });
      // A section that is missing has no entries: its optional keys get their defaults.
      const IniSection empty{std::string(name), 0, {}};
      this->ReadSection(found == sections.end() ? empty : *found);
    }
  }

  void ReadSection(const IniSection& section) {
    IniSectionReader reader(section, this->problems);
    for (const SettingsKey& key : kKeys) {
      if (key.section != section.name) {
        continue;
      }
      const IniEntry* entry = reader.TakeEntry(
          key.name, key.default_value ? IniPresence::kOptional : IniPresence::kRequired);
      if (entry == nullptr) {
        key.apply(this->settings, key.default_value.value_or(""));
      } else if (!key.apply(this->settings, entry->value)) {
        reader.Report(*entry, "must be " + std::string(key.allowed) +
                                  (key.secret ? "" : ", not " + QuoteValue(entry->value)));
      }
    }
    reader.ReportUnknownKeys();
  }

  void CheckKeys(const IniDocument& document) {
    if (this->settings.plaintext) {
      if (!this->settings.peer_address.IsLoopback()) {
        this->Report(document, "peers", "plaintext",
                     "yes is allowed only when peer_address is a loopback address, not " +
                         this->settings.peer_address.ToString());
      }
      // A key without effect would suggest that messages are protected.
      if (!this->settings.public_key.empty()) {
        this->Report(document, "peers", "public_key", "is not allowed with plaintext = yes");
      }
      if (!this->settings.secret_key.empty()) {
        this->Report(document, "peers", "secret_key", "is not allowed with plaintext = yes");
      }
      return;
    }
    if (this->settings.public_key.empty()) {
      this->Report(document, "peers", "public_key", "missing key; required with plaintext = no");
    }
    if (this->settings.secret_key.empty()) {
      this->Report(document, "peers", "secret_key", "missing key; required with plaintext = no");
    }
  }

  // A node whose upstream is the node itself would call itself in an endless loop.
  void CheckAddresses(const IniDocument& document) {
    const NodeSettings& own = this->settings;
    if (own.peer_address == own.http_address) {
      this->Report(document, "node", "peer_address", "must differ from http_address");
    }
    if (own.upstream_address == own.http_address || own.upstream_address == own.peer_address) {
      this->Report(document, "node", "upstream_address",
                   "must differ from http_address and peer_address");
    }
  }

  // Reports a problem at a key, at its section if the key is missing, or without a line.
  void Report(const IniDocument& document,
              std::string_view section_name,
              std::string_view key,
              std::string message) {
    int line = 0;
    for (const IniSection& section : document.sections) {
      if (section.name != section_name) {
        continue;
      }
      line = section.line;
      for (const IniEntry& entry : section.entries) {
        line = entry.key == key ? entry.line : line;
      }
    }
    this->problems.Add(line, section_name, key, std::move(message));
  }

  IniProblemList problems;
  NodeSettings settings;
};

}  // namespace

SettingsParseResult SettingsParser::Parse(std::string_view text, std::string_view file_name) {
  return Validator(file_name).Run(text);
}

std::string SettingsParser::Page() {
  std::string page =
      "# Settings of a node\n"
      "\n"
      "`masticpin-node` reads its settings from an INI file. `masticpinctl settings` prints this\n"
      "page from the table that the node checks the file against. Lines that start with `;` or "
      "`#`\n"
      "are comments; `;` after a space starts a comment in a line. Unknown sections and keys are\n"
      "refused.\n";
  std::string_view section;
  for (const SettingsKey& key : kKeys) {
    if (key.section != section) {
      section = key.section;
      page.append("\n## [").append(section).append(
          "]\n\n| Key | Default | Allowed | Meaning |\n|---|---|---|---|\n");
    }
    std::string default_value = "required";
    if (key.default_value) {
      default_value = key.default_value->empty() ? "empty" : std::string(*key.default_value);
    }
    page.append("| `").append(key.name).append("` | ").append(default_value);
    page.append(" | ").append(key.allowed).append(" | ").append(key.doc).append(" |\n");
  }
  return page;
}

}  // namespace masticpin
