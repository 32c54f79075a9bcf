#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/config/ConfigurationReader.h>

#include "CallGraph.h"
#include "FindingList.h"
#include "TableReader.h"
#include "Toml.h"

namespace stairspur::config {

/// Converts a parsed file to a configuration. Tables that others refer to are read before call paths and callers.
class ConfigurationFileReader
{
public:
    ConfigurationFileReader(const toml::table &root, FindingList &findings);

    auto read() -> Configuration;

private:
    /// Names of the tables of one kind, with the line that defines each.
    using Names = std::map<std::string, std::uint32_t, std::less<>>;

    auto readDomains() -> void;
    auto readClasses() -> void;
    auto readServices() -> void;
    auto readLimits(TableReader &service, ServiceLimits &limits) -> void;
    auto readPaths() -> void;
    auto readCallers() -> void;
    auto readRetry() -> void;

    auto readKey(TableReader &caller) -> std::string;
    auto readFurtherKeys(TableReader &caller, Names &keys) -> std::vector<std::string>;
    auto checkKey(const TableReader &caller, std::string_view name, const LocatedText &key) -> bool;
    auto checkNewKey(const TableReader &caller, const std::string &key,
                     toml::source_position position, Names &keys) -> void;
    auto readQuota(TableReader &caller) -> std::optional<RequestQuota>;
    auto readHomeDomain(TableReader &caller) -> std::string;

    /// Reads the name of a table and adds it to `names`. Reports a finding when it is already there.
    auto readNewName(TableReader &table, Names &names) -> std::string;
    /// Reads an array of different names, all of which must be in `names`.
    auto readReferences(TableReader &table, std::string_view key, const Names &names)
            -> std::vector<LocatedText>;
    auto checkReference(const LocatedText &name, const TableReader &table, std::string_view key,
                        const Names &names) -> bool;
    auto checkPath(const TableReader &path, const std::vector<LocatedText> &services) -> void;

    /// Returns the tables `[[key]]`. Reports a finding when there are fewer or more of them than `count` allows.
    auto readTables(std::string_view key, Range<std::size_t> count)
            -> std::vector<const toml::table *>;

    TableReader m_root;
    FindingList &m_findings;
    Configuration m_configuration;
    Names m_domainNames;
    Names m_classNames;
    Names m_serviceNames;
    CallGraph m_callGraph;
};

} // namespace stairspur::config
