#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/Task.h>

namespace stairspur::node {

/// Saves the refused requests of a service to the platform's store, for the case that all of its nodes restart at once:
/// otherwise three backend servers would crash again before each request is refused. Each request has one leased key, which
/// the node with the deciding crash writes. Each node reads the keys once, when its service is set. Belongs to the control
/// thread.
class QuarantineArchive
{
public:
    using Restore = std::function<void(const std::string &saved)>;

    /// The store must outlive the archive's io_context.
    QuarantineArchive(transport::asio::io_context &io, store::AnyStore &store, Restore restore);

    /// Sets the service of this host's backend server and starts reading its records from the store. Has no effect if the
    /// service is empty or unchanged.
    auto setService(const std::string &service) -> void;

    /// Writes the record `saved` of the request `name` to the store, or removes the record if `saved` is empty.
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
    std::map<std::string, std::string>
            m_pendingRecords; ///< Records that are being written, by name.
};

} // namespace stairspur::node
