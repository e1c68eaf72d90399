"""The judge: proves from what was seen whether the proxies kept the platform's rules. It rests on
`slatelab.records` alone, and must never import slatehub, paddlestep, an engine or the plant's machines: a
shared mistake would acquit itself."""

from .checker import judge
from .report import RULES, JudgeReport, Violation

__all__ = ["RULES", "JudgeReport", "Violation", "judge"]
