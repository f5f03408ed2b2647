use schema::read_declaration;

use super::cross_check::CrossCheck;
use super::declaration_draft::DeclarationDraft;
use super::fleet_builder::build_fleet;
use super::origin_index::OriginIndex;
use crate::{DeclarationMistake, FleetDeclaration, HeadManifest, KeySet, KeyText, TextHash};

/// Most bytes of the texts of all keys together.
const SET_LIMIT: usize = 32 * 1024 * 1024;
/// Most mistakes reported for one set.
const MISTAKE_LIMIT: usize = 1_000;

/// Validates a key set and builds the declaration from it; the result depends on the set alone.
///
/// Keys that `head` does not list are ignored.
///
/// # Errors
///
/// Returns every mistake of the first group that has any: mistakes in `head`, keys that are missing
/// or have another hash than `head` lists, mistakes within one key, and mistakes across sections.
/// Later groups are not checked then, since their mistakes would follow from the earlier ones.
/// Mistakes in `head` and in sections are cut off at 1,000.
///
/// ```
/// use fleet::{KeySet, KeyText, make_head, validate_set};
/// let text = "[domain patan]\n[node n1]\ndomain = patan\npeer_address = 192.0.2.1:8082\n";
/// let keys = vec![KeyText::new("fleet.ini", text)];
/// let fleet = validate_set(&KeySet::new(make_head(1, &keys), keys)).unwrap();
/// assert_eq!(fleet.nodes[0].name.as_str(), "n1");
/// ```
pub fn validate_set(set: &KeySet) -> Result<FleetDeclaration, Vec<DeclarationMistake>> {
    let head = HeadManifest::parse(set.head()).map_err(into_mistakes)?;
    let keys = listed_keys(set, &head)?;
    let (draft, origins) = merge_keys(&keys)?;
    let mistakes = CrossCheck::new(&draft, &origins).run();
    if !mistakes.is_empty() {
        return Err(into_mistakes(mistakes));
    }
    build_fleet(draft, &origins).map_err(into_mistakes)
}

fn into_mistakes(mut mistakes: Vec<schema::SettingError>) -> Vec<DeclarationMistake> {
    mistakes.truncate(MISTAKE_LIMIT);
    mistakes.into_iter().map(DeclarationMistake::from).collect()
}

fn listed_keys<'a>(
    set: &'a KeySet,
    head: &HeadManifest,
) -> Result<Vec<&'a KeyText>, Vec<DeclarationMistake>> {
    let mut keys = Vec::new();
    let mut mistakes = Vec::new();
    for entry in &head.entries {
        let key = entry.name.clone();
        let at = set.keys().binary_search_by(|known| known.name.cmp(&key));
        match at.map(|at| &set.keys()[at]) {
            Err(_) => mistakes.push(DeclarationMistake::KeyMissing { key }),
            Ok(found) if TextHash::of(&found.text) != entry.hash => {
                mistakes.push(DeclarationMistake::HashDiffers { key });
            }
            Ok(found) => keys.push(found),
        }
    }
    let found = keys.iter().map(|key| key.text.len()).sum();
    if found > SET_LIMIT {
        let allowed = SET_LIMIT;
        mistakes.push(DeclarationMistake::SetTooLarge { found, allowed });
    }
    if mistakes.is_empty() {
        Ok(keys)
    } else {
        Err(mistakes)
    }
}

fn merge_keys(
    keys: &[&KeyText],
) -> Result<(DeclarationDraft, OriginIndex), Vec<DeclarationMistake>> {
    let mut draft = DeclarationDraft::default();
    let mut origins = OriginIndex::default();
    let mut mistakes = Vec::new();
    for key in keys {
        match read_declaration(&key.name, &key.text) {
            Ok(file) => {
                mistakes.extend(origins.add_file(&key.name, &key.text));
                draft.add_file(file);
            }
            Err(found) => mistakes.extend(found),
        }
    }
    if mistakes.is_empty() {
        Ok((draft, origins))
    } else {
        Err(into_mistakes(mistakes))
    }
}
