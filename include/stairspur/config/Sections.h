#pragma once

#include <map>
#include <string>
#include <string_view>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Error.h>

/// A configuration as small named sections, for the store and for what changes between two versions.
///
/// One section for each service, and a fixed number of buckets for callers and call paths, so that a change of one of
/// them touches one small section. The bytes depend on the meaning alone: every order in the file but that of the
/// classes, of a caller's classes and of a path's services is without effect.
namespace stairspur::config {

/// Bytes (CBOR) by section name: "classes", "domains", "retry", "service/order-intake", "callers/3", "paths/41",
/// "routes/17", "ingress".
/// Empty buckets are left out.
using Sections = std::map<std::string, std::string>;

/// The SHA-256 of each section's bytes, in lower-case hexadecimal, by section name.
using SectionHashes = std::map<std::string, std::string>;

/// Buckets that callers are spread over by the hash of their name, and call paths likewise.
inline constexpr auto SectionBuckets = 64;

/// Sections that do not make up a configuration: one is missing, misnamed or cannot be read.
class SectionError : public InputError
{
public:
    using InputError::InputError;
};

/// Splits a checked configuration. The same meaning gives the same bytes on every host.
auto splitIntoSections(const Configuration &configuration) -> Sections;

/// The configuration of `sections`, in an order that depends on them alone; see ConfigurationAssembler, which also takes
/// changes of a few. Throws SectionError.
auto joinSections(const Sections &sections) -> Configuration;

/// The hash of each section.
auto hashesOf(const Sections &sections) -> SectionHashes;

/// The hash of a whole configuration: SHA-256 over the names and hashes of its sections.
auto hashOf(const Sections &sections) -> std::string;

/// The same from the hashes of the sections, for whoever has not all their bytes.
auto hashOfHashes(const SectionHashes &hashes) -> std::string;

} // namespace stairspur::config
