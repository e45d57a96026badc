"""Validation of settings: each fault names the flag, its value and the allowed values."""

import pytest
from absl import flags

from ...demo_keys import DEMO_DIGESTS
from ...environment import apply_environment
from ...outcomes import Invalid
from .. import Settings, define_flags, read_settings

GOOD = (
    "--hall=hall-a",
    "--store_urls=http://10.0.0.1:2379,http://10.0.0.2:2379",
    "--box_list_url=http://10.0.0.3:80",
)


def read_flags(*arguments, environment=None):
    values = flags.FlagValues()
    original, flags.FLAGS = flags.FLAGS, values
    try:
        define_flags_in(values)
    finally:
        flags.FLAGS = original
    values(["ferrydockd", *arguments])
    environment_faults = apply_environment(values, environment or {})
    return environment_faults or read_settings(values)


def define_flags_in(values):
    """Define the daemon's flags in `values` instead of the global flags."""
    originals = {n: getattr(flags, n) for n in DEFINERS}
    try:
        for name, original in originals.items():
            setattr(flags, name, define_in(original, values))
        define_flags()
    finally:
        for name, original in originals.items():
            setattr(flags, name, original)


DEFINERS = ("DEFINE_string", "DEFINE_list", "DEFINE_float", "DEFINE_bool", "DEFINE_integer")


def define_in(define, values):
    return lambda *args, **options: define(*args, flag_values=values, **options)


def test_valid_settings_are_accepted():
    settings = read_flags(*GOOD, "--peers=10.0.0.4:7170")
    assert isinstance(settings, Settings)
    assert settings.peers == ("10.0.0.4:7170",)
    assert settings.stop_longest_s is None


def test_every_flag_is_also_read_from_the_environment():
    settings = read_flags(*GOOD, environment={"FERRYDOCK_LISTEN": "10.0.0.9:80"})
    assert settings.listen == "10.0.0.9:80"
    given = read_flags(
        *GOOD, "--listen=10.0.0.8:80", environment={"FERRYDOCK_LISTEN": "10.0.0.9:80"}
    )
    assert given.listen == "10.0.0.8:80"


@pytest.mark.parametrize(
    ("argument", "flag"),
    [
        ("--hall=a b", "--hall"),
        ("--listen=somewhere:80", "--listen"),
        ("--peers=10.0.0.1", "--peers"),
        ("--store=postgres", "--store"),
        ("--store_urls=ftp://x", "--store_urls"),
        ("--log_level=loud", "--log_level"),
        ("--engine=steam", "--engine"),
        ("--stop_readiness_s=-3", "--stop_readiness_s"),
        ("--embedded", "--embedded"),
        ("--tls_key=/nowhere", "--tls_key"),
        (f"--operator_key_digests={min(DEMO_DIGESTS)}", "--operator_key_digests"),
    ],
)
def test_an_invalid_setting_is_refused_with_its_flag(argument, flag):
    result = read_flags(*GOOD, argument)
    assert isinstance(result, Invalid)
    assert any(fault.place == flag for fault in result.faults)
    assert all("allowed" in fault.problem for fault in result.faults)


def test_embedded_mode_needs_no_other_flag():
    settings = read_flags("--embedded")
    assert settings.store == "embedded"
    assert settings.hall


@pytest.mark.parametrize(
    "flag",
    [
        "--listen=127.0.0.1:99999",
        "--listen=127.0.0.256:80",
        "--route_listen=127.0.0.1:65536",
        "--peers=127.0.0.1:70000",
        "--statsd=127.0.0.1:65536",
        "--box_list_url=http://10.0.0.3:65536",
    ],
)
def test_a_port_or_octet_out_of_range_is_refused_with_its_flag(flag):
    settings = read_flags(*GOOD, flag)
    assert isinstance(settings, Invalid)
    assert flag.split("=")[0] in settings.reason
