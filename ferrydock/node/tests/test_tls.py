"""Certificates: peers without a valid one are refused, and renewed ones are reloaded."""

import asyncio
import datetime
import ipaddress
import random
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ...clock import ManualClock
from ...hall import Attestations
from ...membership import (
    DaemonInfo,
    ExchangeClient,
    ExchangeServer,
    PeerSecurity,
    SharedState,
)
from ...outcomes import Unavailable
from ...table import TableKeeper
from .._tls import CallerTls


class Authority:
    """A certificate authority that signs certificates for 127.0.0.1."""

    def __init__(self, name):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.subject, self.key.public_key(), authority=True)

    def _sign(self, subject, public_key, authority):
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.subject)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        )
        return builder.sign(self.key, hashes.SHA256())

    def write(self, folder, name):
        """Write a certificate, its key and the authority's certificate; return the three paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key.public_key(), authority=False)
        pem = serialization.Encoding.PEM
        secret = key.private_bytes(
            pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        parts = {
            "certificate": certificate.public_bytes(pem),
            "key": secret,
            "authority": self.certificate.public_bytes(pem),
        }
        paths = []
        for part, raw in parts.items():
            path = folder / f"{name}-{part}.pem"
            path.write_bytes(raw)
            paths.append(str(path))
        return paths


ACCEPTED = {"friend"}


def state(name):
    own = DaemonInfo(name, "hall-a", f"{name}:1", "")
    return SharedState(own, TableKeeper(), Attestations(2.0), random.Random(1))


def test_a_peer_without_a_certificate_of_the_authority_is_refused(tmp_path):
    ours, foreign = Authority("ours"), Authority("foreign")
    good = PeerSecurity(*ours.write(tmp_path, "good"))
    other = PeerSecurity(*ours.write(tmp_path, "other"))
    stranger_paths = foreign.write(tmp_path, "stranger")
    stranger = PeerSecurity(stranger_paths[0], stranger_paths[1], good.authority_path)

    async def check():
        clock, server_state = ManualClock(1.0), state("a")
        server = ExchangeServer(server_state, clock, lambda sender, needs: None)
        port = await server.start("127.0.0.1:0", good)
        address = f"127.0.0.1:{port}"

        async def send_digest(name, security):
            client = ExchangeClient(state(name), clock, security)
            for _ in range(10):
                outcome = await client.exchange_digests(address, "hall-a", True)
                if not isinstance(outcome, Unavailable):
                    break
            await client.close()
            return outcome

        try:
            assert not isinstance(await send_digest("friend", other), Unavailable)
            assert isinstance(await send_digest("plain", None), Unavailable)
            assert isinstance(await send_digest("stranger", stranger), Unavailable)
        finally:
            await server.close()
        assert {m.name for m in server_state.members.all_members()} == {"a"} | ACCEPTED

    asyncio.run(check())


def test_a_renewed_certificate_is_loaded_and_an_invalid_one_is_not(tmp_path):
    ours = Authority("ours")
    certificate, key, authority = ours.write(tmp_path, "caller")
    tls = CallerTls(certificate, key)
    assert not tls.reload_if_changed()

    async def served_serial():
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0, ssl=tls.context)
        port = server.sockets[0].getsockname()[1]
        client_context = ssl.create_default_context(cafile=authority)
        _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=client_context)
        raw = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        server.close()
        return x509.load_der_x509_certificate(raw).serial_number

    first = asyncio.run(served_serial())
    ours.write(tmp_path, "caller")
    assert tls.reload_if_changed()
    second = asyncio.run(served_serial())
    assert second != first
    (tmp_path / "caller-certificate.pem").write_text("not a certificate")
    assert not tls.reload_if_changed()
    assert asyncio.run(served_serial()) == second


def test_without_certificate_files_plain_http_is_served():
    tls = CallerTls("", "")
    assert tls.context is None
    assert not tls.reload_if_changed()
