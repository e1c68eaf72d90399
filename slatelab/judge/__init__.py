"""The judge: proves from the records of a run whether the proxies kept the platform's rules. It depends only on
`slatelab.records` and the scenario, and does not import slatehub, paddlestep, an engine or the plant: an error in
shared code would hide itself from the judge."""

from .checker import judge
from .report import RULES, JudgeReport, Violation

__all__ = ["RULES", "JudgeReport", "Violation", "judge"]
