//! A certificate authority for tests.

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType, IsCa, KeyPair,
};

/// Certificate and private key of one node, in PEM.
#[derive(Debug, Clone)]
pub struct NodePem {
    /// Certificate that names the VM of the node.
    pub cert: String,
    /// Private key of the certificate.
    pub key: String,
}

/// A certificate authority whose key is kept in memory only.
pub struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Creates an authority with a new key.
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, "stand-in authority");
        let key = KeyPair::generate().expect("a key should be generated");
        let issuer =
            CertifiedIssuer::self_signed(params, key).expect("the parameters should be valid");
        Self { issuer }
    }

    /// Returns the certificate of the authority, in PEM.
    pub fn cert_pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate and a new key for the VM `vm`.
    pub fn issue(&self, vm: &str) -> NodePem {
        let params = CertificateParams::new(vec![vm.to_owned()])
            .expect("the VM name should be valid in a certificate");
        let key = KeyPair::generate().expect("a key should be generated");
        let cert = params.signed_by(&key, &self.issuer).expect("the parameters should be valid");
        NodePem { cert: cert.pem(), key: key.serialize_pem() }
    }
}

impl Default for CertificateAuthority {
    fn default() -> Self {
        Self::new()
    }
}
