"""Settings of the limits layer."""

from dataclasses import dataclass

from bulrushdrum._internal.settings.reading import setting


@dataclass(frozen=True)
class LimitSettings:
    """Settings of the entry set and of lending and borrowing permits."""

    region: str = setting("", help="region of this entry")
    entry_set_poll: float = setting(5.0, unit="seconds", low=0.05, high=300.0)
    borrow_timeout: float = setting(0.5, unit="seconds", low=0.01, high=30.0)
    borrow_pause: float = setting(0.02, unit="seconds", low=0.001, high=5.0)
    # The lender queries older loans at the borrower, in case a return was lost.
    loan_check_age: float = setting(10.0, unit="seconds", low=0.0, high=600.0)
