"""The classes that a walk runs: the real replica and the models around it, or subclasses with a planted fault."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from rowanshift.controlplane import replication
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.router_model import RouterModel
from rowanshift.modelcheck.store_model import StoreModel


@dataclass(frozen=True)
class Implementations:
    """The class of each part of a modelled system."""

    replica: type[replication.Replica] = replication.Replica
    service: type[ControlService] = ControlService
    router: type[RouterModel] = RouterModel
    store: type[StoreModel] = StoreModel

    def with_subclass(self, subclass: type) -> Implementations:
        """A copy in which ``subclass`` replaces its base class. Raises ``TypeError`` if no part is its base class."""
        for part in fields(self):
            if issubclass(subclass, getattr(self, part.name)):
                return replace(self, **{part.name: subclass})
        raise TypeError(f"{subclass.__name__} is a subclass of none of {self}")


DEFAULT_IMPLEMENTATIONS = Implementations()
