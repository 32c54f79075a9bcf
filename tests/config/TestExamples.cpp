#include <criterion/criterion.h>

#include <stairspur/config/ConfigurationReader.h>
#include <stairspur/core/Hash.h>

#include "ConfigurationTexts.h"

using namespace stairspur;
using namespace stairspur::config;

struct ExampleCase
{
    const char *file;
    std::vector<std::string> domains;
    std::vector<std::string> keyedServices; ///< Services that aren't idempotent.
    const char *entered;
    const char *enteredClass;
    std::vector<std::string> deeper;
    const char *key; ///< Given in a comment of the file.
    const char *caller;
};

static const ExampleCase examples[] = {
        {"examples/association.toml",
         {"ljubljana-centre", "bezigrad", "domzale"},
         {"order-intake", "courier-payouts"},
         "order-intake",
         "paid-orders",
         {"courier-maps", "courier-payouts", "menu-catalogue"},
         "example-kitchen-key",
         "kitchen"},
        {"examples/kargoleaf.toml",
         {"ikeja", "lekki", "apapa"},
         {"load-sheet-computation", "uplift-booking"},
         "uplift-booking",
         "uplift-bookings",
         {"load-sheet-computation", "manifest-query"},
         "example-dispatcher-key",
         "dispatcher"},
};

Test(Examples, areUsableWithExpectedContent)
{
    for (const auto &it : examples) {
        const auto read = readConfiguration(readRepositoryFile(it.file), it.file);
        auto domains = std::vector<std::string>();
        for (const auto &domain : read.domains)
            domains.push_back(domain.name);
        cr_assert(domains == it.domains, "%s", it.file);
        auto keyed = std::vector<std::string>();
        for (const auto &service : read.services) {
            if (!service.isIdempotent)
                keyed.push_back(service.name);
        }
        cr_assert(keyed == it.keyedServices, "%s", it.file);
        const auto rank = read.findClass(it.enteredClass)->rank;
        cr_assert(read.deeperServices(it.entered, rank) == it.deeper, "%s", it.file);
    }
}

Test(Examples, haveHashesOfKeysInTheirComments)
{
    for (const auto &it : examples) {
        const auto text = readRepositoryFile(it.file);
        cr_assert_neq(text.find(it.key), std::string::npos);
        const auto read = readConfiguration(text, it.file);
        const auto *caller = read.findCallerByKeyHash(sha256Hex(it.key));
        cr_assert(caller && caller->name == it.caller, "%s", it.file);
    }
}
