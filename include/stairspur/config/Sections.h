#pragma once

#include <map>
#include <string>
#include <string_view>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Error.h>

/// Splits a configuration into small named sections, for the store and for the differences between two versions.
///
/// Each service has its own section; callers, call paths and routes are spread over a fixed number of buckets, so that
/// changing one of them changes one small section. The bytes depend on the meaning alone. An order in the file matters
/// only for the classes, a caller's classes and further keys, a call path's services and a route's targets.
namespace stairspur::config {

/// Bytes (CBOR) by section name: "classes", "domains", "retry", "service/order-intake", "callers/3", "paths/41",
/// "routes/17", "ingress".
/// Empty buckets have no section.
using Sections = std::map<std::string, std::string>;

/// SHA-256 of each section's bytes, in lower-case hexadecimal, by section name.
using SectionHashes = std::map<std::string, std::string>;

/// Number of buckets for callers; call paths and routes have as many each. The hash of a name selects its bucket.
inline constexpr auto SectionBuckets = 64;

/// Thrown for sections that don't form a configuration: one is missing, misnamed or can't be read.
class SectionError : public InputError
{
public:
    using InputError::InputError;
};

/// Splits a checked configuration. Configurations of the same meaning give the same bytes on every host.
auto splitIntoSections(const Configuration &configuration) -> Sections;

/// Returns the configuration of `sections`, in an order that depends on them alone. Throws SectionError.
/// ConfigurationAssembler also replaces single sections.
auto joinSections(const Sections &sections) -> Configuration;

/// Returns the hash of each section.
auto hashesOf(const Sections &sections) -> SectionHashes;

/// Returns the hash of a complete configuration: SHA-256 over the names and hashes of its sections.
auto hashOf(const Sections &sections) -> std::string;

/// Returns the hash of a complete configuration from the hashes of its sections, without their bytes.
auto hashOfHashes(const SectionHashes &hashes) -> std::string;

} // namespace stairspur::config
