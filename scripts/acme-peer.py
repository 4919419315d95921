#!/usr/bin/env python3
"""An ACME client that this project did not write and does not use (certbot's own library, `acme`) against the stand-in
authority: an account, an order of two names proven by http-01, the chain, renewal information, a second order by the
same account. Not in CI.

    python3 -m venv venv && venv/bin/pip install acme
    venv/bin/python scripts/acme-peer.py     # exit code 1 where anything fails, or the authority saw a rule broken
"""
import http.server
import subprocess
import sys
import tempfile
import threading

import josepy
from acme import challenges, client, messages
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

NAMES = ["a.example", "b.example"]
proofs = {}


class Proofs(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        body = proofs.get(self.path, b"")
        self.send_response(200 if body else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def certify(acme, key):
    """One order, from the request to the chain."""
    csr = (
        x509.CertificateSigningRequestBuilder()
        .subject_name(x509.Name([]))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(n) for n in NAMES]), critical=False)
        .sign(key, hashes.SHA256())
    )
    order = acme.new_order(csr.public_bytes(serialization.Encoding.PEM))
    for authorisation in order.authorizations:
        [challenge] = [c for c in authorisation.body.challenges if isinstance(c.chall, challenges.HTTP01)]
        response, answer = challenge.response_and_validation(acme.net.key)
        proofs[challenge.chall.path] = answer.encode()
        acme.answer_challenge(challenge, response)
    return acme.poll_and_finalize(order).fullchain_pem


def main():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Proofs)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    with tempfile.NamedTemporaryFile(suffix=".pem") as root:
        command = "cargo run --quiet --locked -p applemill-stand-ins --example authority --".split()
        command += [f"127.0.0.1:{server.server_port}", root.name]
        authority = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        directory = authority.stdout.readline().strip()
        account = josepy.JWKEC(key=ec.generate_private_key(ec.SECP256R1()))
        net = client.ClientNetwork(account, alg=josepy.ES256, verify_ssl=root.name)
        acme = client.ClientV2(client.ClientV2.get_directory(directory, net), net)
        new = messages.NewRegistration.from_data(email="ops@auction.example", terms_of_service_agreed=True)
        print("account", acme.new_account(new).uri)
        chain = None
        for _ in range(2):
            chain = certify(acme, ec.generate_private_key(ec.SECP256R1()))
            certificates = x509.load_pem_x509_certificates(chain.encode())
            names = certificates[0].extensions.get_extension_for_class(x509.SubjectAlternativeName).value
            print("chain of", len(certificates), "for", names.get_values_for_type(x509.DNSName))
            assert names.get_values_for_type(x509.DNSName) == NAMES
            certificates[0].verify_directly_issued_by(certificates[1])
        print("renewal", acme.renewal_time(chain.encode()))
        counts, _ = authority.communicate()
        print(counts.strip())
        return authority.returncode


if __name__ == "__main__":
    sys.exit(main())
