#include "masticpin/settings/settings_parser.h"

#include <array>
#include <utility>

#include "masticpin/base/ini_document.h"
#include "masticpin/settings/settings_table.h"

namespace masticpin {
namespace {

using Key = SettingsKey<NodeSettings>;

// Stores a value; returns whether it is empty or a CURVE key in Z85, its text form (see ZeroMQ RFC
// 32).
template <std::string NodeSettings::*kMember>
bool ApplyCurveKey(NodeSettings& settings, std::string_view value) {
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

bool ApplyLogFile(NodeSettings& settings, std::string_view value) {
  settings.log_file = value;
  return true;
}

constexpr std::string_view kAllowedCurveKeys = "a CURVE key in Z85 (40 characters)";

// All keys of the settings file.
const std::array<Key, 13> kKeys = {{
    {"node", "name", std::nullopt, kAllowedNames,
     "Name of the instance. It must be unique in the deployment, because action keys name the "
     "instance that issued them.",
     &ApplyName<NodeSettings, &NodeSettings::name>},
    {"node", "service", std::nullopt, kAllowedNames,
     "Service of the upstream, as it is named in the manifest.",
     &ApplyName<NodeSettings, &NodeSettings::service>},
    {"node", "zone", std::nullopt, kAllowedNames, "Availability zone of the instance.",
     &ApplyName<NodeSettings, &NodeSettings::zone>},
    {"node", "http_address", std::nullopt, kAllowedAddresses,
     "Address at which the node accepts callers and the upstream's own calls.",
     &ApplyAddress<NodeSettings, &NodeSettings::http_address>},
    {"node", "peer_address", std::nullopt, kAllowedAddresses,
     "Address at which the node accepts other nodes.",
     &ApplyAddress<NodeSettings, &NodeSettings::peer_address>},
    {"node", "upstream_address", std::nullopt, kAllowedAddresses,
     "Address of the upstream's HTTP server.",
     &ApplyAddress<NodeSettings, &NodeSettings::upstream_address>},
    {"node", "platform_address", std::nullopt, kAllowedAddresses,
     "Address of the configuration service and the list of instances.",
     &ApplyAddress<NodeSettings, &NodeSettings::platform_address>},
    {"node", "document", "manifest", kAllowedNames,
     "Name of the document of the configuration service that holds the manifest.",
     &ApplyName<NodeSettings, &NodeSettings::document>},
    {"peers", "plaintext", "no", "yes or no",
     "Whether messages between nodes are sent without encryption and authentication. `yes` is "
     "allowed only when `peer_address` is a loopback address.",
     &ApplyPlaintext},
    {"peers", "public_key", "", kAllowedCurveKeys,
     "Public key of the node. Required, unless `plaintext = yes`.",
     &ApplyCurveKey<&NodeSettings::public_key>},
    {"peers", "secret_key", "", kAllowedCurveKeys,
     "Secret key that belongs to `public_key`. Required, unless `plaintext = yes`.",
     &ApplyCurveKey<&NodeSettings::secret_key>, true},
    {"log", "level", "info", kAllowedLogLevels, "Least severe level that is logged.",
     &ApplyLogLevel<NodeSettings>},
    {"log", "file", "", "a path", "File to which the log is appended. Empty: standard error.",
     &ApplyLogFile},
}};

class Validator {
 public:
  explicit Validator(std::string_view file_name) : problems(file_name) {}

  SettingsParseResult Run(std::string_view text) {
    const std::optional<IniDocument> document =
        ReadIniDocument(text, SettingsParser::kMaxTextBytes, this->problems);
    if (document) {
      ReadSettings<NodeSettings>(*document, kKeys, this->problems, this->settings);
    }
    // Rules that involve several keys are only checked if each key is valid; otherwise they would
    // report the same problems again.
    if (this->problems.Empty()) {
      this->CheckCurveKeys(*document);
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
  void CheckCurveKeys(const IniDocument& document) {
    if (this->settings.plaintext) {
      if (!this->settings.peer_address.IsLoopback()) {
        this->Report(document, "peers", "plaintext",
                     "yes is allowed only when peer_address is a loopback address, not " +
                         this->settings.peer_address.ToString());
      }
      // A key that has no effect would suggest that messages are protected.
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

  // A node whose upstream address is its own address would call itself in an endless loop.
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

  // Reports a problem at the line of the key, or of its section if the key is missing, or without a
  // line if the section is missing too.
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

std::string SettingsParser::MarkdownPage() {
  return FormatSettingsPage<NodeSettings>(
      "# Settings of a node\n"
      "\n"
      "`masticpin-node` reads its settings from an INI file. `masticpinctl settings` prints this\n"
      "page from the table that the node checks the file against. Lines that start with `;` or "
      "`#`\n"
      "are comments; `;` after a space starts a comment in a line. Unknown sections and keys are\n"
      "refused.\n",
      kKeys);
}

}  // namespace masticpin
