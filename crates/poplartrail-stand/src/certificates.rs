//! A certificate authority for tests.

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType, IsCa, KeyPair,
};

/// Certificate and key of one node, as PEM texts.
#[derive(Debug, Clone)]
pub struct NodePem {
    /// Certificate chain.
    pub cert: String,
    /// Private key.
    pub key: String,
}

/// A certificate authority that lives as long as a test.
pub struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Makes an authority with a fresh key.
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, "stand-in authority");
        let key = KeyPair::generate().expect("a key can be made");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("the parameters are valid");
        Self { issuer }
    }

    /// The authority's certificate.
    pub fn cert_pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate for the VM `vm`.
    pub fn issue(&self, vm: &str) -> NodePem {
        let params = CertificateParams::new(vec![vm.to_owned()]).expect("the name is valid");
        let key = KeyPair::generate().expect("a key can be made");
        let cert = params.signed_by(&key, &self.issuer).expect("the parameters are valid");
        NodePem { cert: cert.pem(), key: key.serialize_pem() }
    }
}

impl Default for CertificateAuthority {
    fn default() -> Self {
        Self::new()
    }
}
