#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/Task.h>

namespace stairspur::node {

/// Saves the leaving process instances of this host's backend server to the platform's store, for the case that this node and
/// all replicas restart at once. Each host has one leased key, which only its node reads and writes. Belongs to the control
/// thread.
class LeavingArchive
{
public:
    using Ids = std::vector<std::uint64_t>;
    using DidLoad = std::function<void(const Ids &ids)>;

    /// Starts to read the record of an earlier process. `didLoad` is called with its ids once it was read, and `didSave` when
    /// all ids are in the store. The store must outlive the archive's io_context.
    LeavingArchive(transport::asio::io_context &io, store::AnyStore &store, const NodeId &ownNode,
                   DidLoad didLoad, std::function<void()> didSave);

    /// Writes `ids` to the store, in place of those saved before.
    auto save(Ids ids) -> void;

    /// Returns whether the record of an earlier process was read.
    [[nodiscard]] auto isLoaded() const -> bool { return m_isLoaded; }
    /// Returns whether the store has confirmed the ids saved last.
    [[nodiscard]] auto isSaved() const -> bool { return m_isLoaded && m_saved == m_wanted; }

private:
    auto run() -> transport::Task<void>;
    /// Reads or writes what is missing in the store. Returns whether it succeeded.
    auto synchronize() -> transport::Task<bool>;
    auto load() -> transport::Task<bool>;
    auto write() -> transport::Task<bool>;

    transport::asio::io_context &m_io;
    store::AnyStore &m_store;
    std::string m_key;
    DidLoad m_didLoad;
    std::function<void()> m_didSave;
    Ids m_wanted;
    Ids m_saved;
    bool m_isLoaded = false;
    bool m_isRunning = false;
};

} // namespace stairspur::node
