"""The files that the platform deploys from agree with the project: packages and programs."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_requirements_are_the_declared_dependencies():
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["dependencies"]
    installed = (ROOT / "requirements.txt").read_text().split("\n")
    assert [line for line in installed if line] == declared


def test_the_deploy_file_names_a_program_that_is_there():
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    for role in roles.values():
        module = role["run"].split()[2]
        path = module.replace(".", "/")
        assert (ROOT / f"{path}.py").exists() or (ROOT / path / "__main__.py").exists()
