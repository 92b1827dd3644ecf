"""The process of a storage instance."""

import contextlib
import pathlib
from collections.abc import Callable

from rattanmill_core import (
    InstanceSettings,
    Metrics,
    MetricsServer,
    Signals,
    log_event,
    start_loop,
    watch_turns,
)
from rattanmill_keeper.capacity import capacity_of, max_connections
from rattanmill_keeper.emptying import Decommission, DecommissionKeys
from rattanmill_keeper.following import Follower
from rattanmill_keeper.keeper import Keeper
from rattanmill_keeper.members import Member, Members
from rattanmill_keeper.messages import Unsure, codec
from rattanmill_keeper.rates import RateLender
from rattanmill_keeper.registration import Registration
from rattanmill_platform import KeyValue
from rattanmill_wire import RequestServer, ServerLimits

# Share of the time within which revoked keys must be refused.
_MAX_AGE_SHARE = 0.2
# Somewhat more than the largest record of a journal.
_MAX_REQUEST_BYTES = 17 * 1024 * 1024


async def run_storage(
    settings: InstanceSettings,
    kv: KeyValue,
    orders: DecommissionKeys,
    metrics: Metrics,
    on_reload: Callable[[], None],
    config_prefix: str,
) -> None:
    """Runs a storage instance until SIGTERM.

    Args:
        settings: Settings of this instance.
        kv: The platform store.
        orders: Keys and values for orders to empty the instance.
        metrics: Counters and durations.
        on_reload: Called when the process is told to reload its settings.
        config_prefix: Key prefix of the operators' configuration.

    Raises:
        SettingsError: An address or the data folder is unusable.
        InvariantError: An invariant of the process was violated.
    """
    signals = Signals()
    signals.install(on_reload)
    members = Members(kv)
    members.tolerated_disk_losses = settings.lost_disks
    keeper = Keeper(
        settings.name,
        pathlib.Path(settings.data_folder),
        settings.first_start,
        members,
        kv,
        metrics,
        _max_ages(settings, config_prefix),
    )
    keeper.capacity = capacity_of(settings.memory_bytes, settings.disk_bytes)
    lender = RateLender(
        settings.name,
        settings.domain,
        members,
        settings.rate_bounds,
    )
    keeper.take_rate = lender.take
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(keeper)
        await stack.enter_async_context(
            RequestServer(
                settings.peer,
                codec(),
                keeper.answer,
                metrics,
                ServerLimits(
                    _MAX_REQUEST_BYTES,
                    keeper.capacity.parts_bytes,
                    max_connections(
                        settings.memory_bytes, settings.max_descriptors
                    ),
                ),
                Unsure("no memory for a long request"),
            )
        )
        await stack.enter_async_context(members)
        member = Member(
            settings.name,
            settings.domain,
            settings.peer,
            keeper.run,
            grants_one_turn=True,
            tells_grants=True,
            takes_parts=True,
        )
        registration = Registration(kv, member)
        registration.is_listed = members.is_listed
        keeper.is_lease_valid = lambda: (
            registration.is_lease_valid and registration.is_settled
        )
        keeper.openings.publish = registration.publish_informed
        keeper.succession.publish = registration.publish_succeeded
        registration.on_lapse = keeper.mark_possibly_excluded
        await stack.enter_async_context(registration)
        await stack.enter_async_context(Follower(keeper, members))
        await stack.enter_async_context(
            Decommission(keeper, members, registration, kv, orders)
        )
        turns = start_loop("turns of the event loop", watch_turns(metrics))
        stack.callback(turns.cancel)
        await stack.enter_async_context(MetricsServer(settings.ip, metrics))
        log_event(
            "started",
            role="storage",
            domain=settings.domain,
            first_start=settings.first_start,
            whole=keeper.is_recovered,
        )
        await signals.stop.wait()
    if signals.invariant_error:
        raise signals.invariant_error
    log_event("stopped")


def _max_ages(
    settings: InstanceSettings, config_prefix: str
) -> dict[str, float]:
    """Returns the age that a mirror of the configuration may reach.

    Front ends need the larger part of the time for outages of the store.
    """
    if settings.revocation_seconds is None:
        return {}
    return {config_prefix: settings.revocation_seconds * _MAX_AGE_SHARE}
