#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/Task.h>

namespace stairspur::node {

/// Keeps in the platform's store which requests a service refuses, for the case that all of its nodes start at once: without
/// it each verdict would cost three backend servers anew. One leased key for each, written by the node that saw the deciding crash;
/// read by each node once, when it knows its service. Belongs to the control thread.
class QuarantineArchive
{
public:
    using Restore = std::function<void(const std::string &saved)>;

    /// The store must outlive the archive's io_context.
    QuarantineArchive(transport::asio::io_context &io, store::AnyStore &store, Restore restore);

    /// The service of this host's backend server; what the store keeps for it is read once.
    auto setService(const std::string &service) -> void;

    /// Keeps `saved` under `name`, or, when it is empty, what was kept no longer.
    auto save(const std::string &name, const std::string &saved) -> void;

private:
    [[nodiscard]] auto prefix() const -> std::string;
    auto load() -> transport::Task<void>;
    auto writeUntilDone(std::string name) -> transport::Task<void>;
    auto write(const std::string &key, const std::string &saved) -> transport::Task<bool>;
    auto remove(const std::string &key) -> transport::Task<bool>;
    auto sleep(Duration time) -> transport::Task<void>;

    transport::asio::io_context &m_io;
    store::AnyStore &m_store;
    Restore m_restore;
    std::string m_service;
    std::map<std::string, std::string> m_unsaved; ///< By name; being written.
};

} // namespace stairspur::node
